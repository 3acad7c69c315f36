package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1200 * time.Millisecond
	slots        = 5
	maxWaiting   = 40
	maxConns     = 33
	promoteTime  = 600 * time.Millisecond
	never        = 1000 * time.Hour
	firstTerm    = 3
	firstIndex   = 100
	meanApplyLag = 20 * time.Millisecond
)

// commit is an entry of the log of a group.
type commit struct {
	number      int
	term, index uint64
	writes      []write
	at          time.Time
	// received and applied are the times at each replica.
	received, applied map[*member]time.Time
	// rolledBackAt is when a promotion cut the commit off; zero for none.
	rolledBackAt time.Time
}

type write struct{ item, value, request string }

// execution is a statement that a member ran.
type execution struct {
	at          time.Time
	member      string
	request     string
	text        string
	tenant      string
	transaction int
	connection  int
	// arrived is when the request reached the member.
	arrived time.Time
}

// group is a service: a primary and its replicas, which receive its log over the network.
type group struct {
	name  string
	sync  int
	store *store
	// delay returns the network delay between two zones.
	delay func(a, b string) time.Duration
	work  time.Duration

	mu         sync.Mutex
	members    []*member
	primary    *member
	term       uint64
	log        []*commit
	all        []*commit
	executions []*execution
	arrivals   []arrival
	promotions []promotion
	lastConn   int
	lastTx     int
}

// arrival is a single statement, or the first one of a transaction, that reached a member.
type arrival struct {
	at              time.Time
	member, request string
	draining        bool
}

type promotion struct {
	at     time.Time
	member string
	term   uint64
	cut    int
}

// member is a database endpoint.
type member struct {
	group    *group
	id, zone string
	address  string

	// The group's lock protects the following fields.
	up, draining, gone  bool
	lastReceived        time.Time
	lastApplied         time.Time
	deafUntil           time.Time
	receivedN, appliedN int
	sequence            int
	born                int64
	listener            net.Listener
	conns               map[net.Conn]bool
	waiting             int
	slots               chan struct{}
}

func newGroup(name string, st *store, syncReplicas int, delay func(a, b string) time.Duration, zones ...string) *group {
	g := &group{
		name:  name,
		sync:  syncReplicas,
		store: st,
		delay: delay,
		term:  firstTerm,
		work:  4 * time.Millisecond,
	}
	first := &commit{
		term:     firstTerm,
		index:    firstIndex,
		received: map[*member]time.Time{},
		applied:  map[*member]time.Time{},
	}
	g.log = []*commit{first}
	for i, zone := range zones {
		m := &member{
			group:     g,
			id:        fmt.Sprintf("i-%s-%d-%04x", name, i, rand.Intn(1<<16)),
			zone:      zone,
			slots:     make(chan struct{}, slots),
			receivedN: 1,
			appliedN:  1,
		}
		g.members = append(g.members, m)
		if i > 0 {
			first.received[m], first.applied[m] = time.Now(), time.Now()
		}
	}
	g.primary = g.members[0]
	for _, m := range g.members {
		m.start("")
	}
	return g
}

// start starts the process of a member, with the log that it had.
func (m *member) start(address string) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	must(err)
	g := m.group
	g.mu.Lock()
	m.listener, m.address, m.up, m.conns = listener, listener.Addr().String(), true, map[net.Conn]bool{}
	m.born, m.sequence = time.Now().UnixMilli(), 0
	// What it missed arrives now.
	now := time.Now()
	for _, c := range g.log {
		if t, ok := c.received[m]; ok && t.After(now.Add(time.Hour)) {
			c.received[m], c.applied[m] = now.Add(20*time.Millisecond), now.Add(40*time.Millisecond)
			m.lastReceived, m.lastApplied = c.received[m], c.applied[m]
		}
	}
	g.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	go func() {
		for {
			if !m.report(listener) {
				return
			}
			time.Sleep(heartbeat)
		}
	}()
}

// report writes the member's entry; false if this run of it has ended.
func (m *member) report(run net.Listener) bool {
	g := m.group
	g.mu.Lock()
	if !m.up || (run != nil && m.listener != run) {
		g.mu.Unlock()
		return false
	}
	m.sequence++
	role, state := "replica", "ready"
	if g.primary == m {
		role = "primary"
	}
	if m.draining {
		state = "draining"
	}
	entry := map[string]any{"service": g.name, "address": m.address, "zone": m.zone, "version": "v1", "slots": slots, "state": state,
		"cold_remaining_ms": 0, "db_role": role, "sequence": m.sequence, "born": m.born}
	g.mu.Unlock()
	g.store.write("servers/"+m.id, entry)
	return true
}

// drain reports that the member is draining, and returns the time of the ack.
func (m *member) drain() time.Time {
	m.group.mu.Lock()
	m.draining = true
	m.group.mu.Unlock()
	m.report(nil)
	return time.Now()
}

// crash ends the process of the member. Its entry goes after three check-in intervals of silence.
func (m *member) crash() {
	g := m.group
	g.mu.Lock()
	m.up = false
	m.listener.Close()
	for c := range m.conns {
		c.Close()
	}
	now := time.Now()
	for _, c := range g.log {
		if t, ok := c.received[m]; ok && t.After(now) {
			c.received[m], c.applied[m] = now.Add(never), now.Add(never)
		}
	}
	run := m.listener
	g.mu.Unlock()
	go func() {
		time.Sleep(3 * heartbeat)
		g.mu.Lock()
		down := !m.up && m.listener == run
		g.mu.Unlock()
		if down {
			g.store.delete("servers/" + m.id)
		}
	}()
}

// counts updates and returns how many entries of the log the member has received and applied. The
// lock must be held.
func (m *member) counts() (received, applied int) {
	g := m.group
	if g.primary == m {
		m.receivedN, m.appliedN = len(g.log), len(g.log)
		return m.receivedN, m.appliedN
	}
	now := time.Now()
	m.receivedN, m.appliedN = min(m.receivedN, len(g.log)), min(m.appliedN, len(g.log))
	for m.receivedN < len(g.log) {
		if t, ok := g.log[m.receivedN].received[m]; ok && t.After(now) {
			break
		}
		m.receivedN++
	}
	for m.appliedN < m.receivedN {
		if t, ok := g.log[m.appliedN].applied[m]; ok && t.After(now) {
			break
		}
		m.appliedN++
	}
	return m.receivedN, m.appliedN
}

// append commits writes at the primary. The lock must be held.
func (g *group) append(writes []write) *commit {
	now := time.Now()
	last := g.log[len(g.log)-1]
	c := &commit{
		number:   len(g.all) + 1,
		term:     g.term,
		index:    last.index + 1,
		writes:   writes,
		at:       now,
		received: map[*member]time.Time{},
		applied:  map[*member]time.Time{},
	}
	for _, m := range g.members {
		if m == g.primary {
			continue
		}
		if !m.up {
			c.received[m], c.applied[m] = now.Add(never), now.Add(never)
			continue
		}
		t := now.Add(g.delay(g.primary.zone, m.zone))
		if t.Before(m.deafUntil) {
			t = m.deafUntil
		}
		if t.Before(m.lastReceived) {
			t = m.lastReceived
		}
		m.lastReceived = t
		a := t.Add(time.Duration(rand.ExpFloat64() * float64(meanApplyLag)))
		if a.Before(m.lastApplied) {
			a = m.lastApplied
		}
		m.lastApplied = a
		c.received[m], c.applied[m] = t, a
	}
	g.log = append(g.log, c)
	g.all = append(g.all, c)
	return c
}

// awaitSync waits until as many replicas have received a commit as sync says; false if it was cut off.
func (g *group) awaitSync(c *commit) bool {
	for {
		g.mu.Lock()
		if !c.rolledBackAt.IsZero() {
			g.mu.Unlock()
			return false
		}
		times := []time.Time{}
		for _, t := range c.received {
			times = append(times, t)
		}
		g.mu.Unlock()
		if g.sync == 0 {
			return true
		}
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		if len(times) >= g.sync && !times[g.sync-1].After(time.Now()) {
			return true
		}
		time.Sleep(time.Millisecond)
	}
}

// promote makes a member the primary of the next term after promoteTime. It returns false if the
// member does not run.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var m *member
	for _, x := range g.members {
		if x.id == id && x.up {
			m = x
		}
	}
	if m == nil {
		return false
	}
	if g.primary == m {
		return true
	}
	go func() {
		time.Sleep(promoteTime)
		g.mu.Lock()
		if !m.up || g.primary == m {
			g.mu.Unlock()
			return
		}
		received, _ := m.counts()
		now := time.Now()
		for _, c := range g.log[received:] {
			c.rolledBackAt = now
		}
		cut := len(g.log) - received
		g.log = g.log[:received]
		for _, c := range g.log {
			delete(c.received, m)
			delete(c.applied, m)
		}
		g.term++
		former := g.primary
		g.primary = m
		for _, x := range g.members {
			if x != m {
				x.lastReceived, x.lastApplied = time.Time{}, time.Time{}
			}
		}
		g.promotions = append(g.promotions, promotion{
			at:     now,
			member: id,
			term:   g.term,
			cut:    cut,
		})
		g.mu.Unlock()
		note("%s: %s leads term %d; %d commits cut off", g.name, id, g.term, cut)
		m.report(nil)
		if former != nil {
			former.report(nil)
		}
	}()
	return true
}

func (c *commit) position() string { return fmt.Sprintf("%d.%d", c.term, c.index) }

// serve serves a connection.
func (m *member) serve(conn net.Conn) {
	defer conn.Close()
	g := m.group
	reader := bufio.NewReaderSize(conn, 4096)
	line, err := readLine(reader)
	if err != nil {
		return
	}
	fields := strings.SplitN(line, " ", 4)
	g.mu.Lock()
	code := ""
	switch {
	case !m.up:
		g.mu.Unlock()
		return
	case len(fields) < 3 || fields[0] != "START" || fields[1] != g.name || (len(fields) == 4 && fields[3] != m.id):
		code = "WRONGNODE"
	case len(m.conns) >= maxConns:
		code = "TOOMANY"
	}
	if code != "" {
		g.mu.Unlock()
		fmt.Fprintf(conn, "ERROR %s %s\r\n", code, m.id)
		return
	}
	m.conns[conn] = true
	g.lastConn++
	s := &dbSession{
		member:   m,
		number:   g.lastConn,
		tenant:   fields[2],
		state:    "I",
		values:   map[string]string{},
		prepared: map[string]string{},
	}
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(m.conns, conn)
		g.mu.Unlock()
	}()
	time.Sleep(2 * time.Millisecond)
	fmt.Fprintf(conn, "READY I %s\r\n", s.position())
	for {
		line, err := readLine(reader)
		if err != nil {
			return
		}
		query := strings.SplitN(line, " ", 3)
		if query[0] != "QUERY" || len(query) < 3 {
			return
		}
		response, ok := s.query(query[1], query[2])
		if !ok {
			return
		}
		if _, err := fmt.Fprintf(conn, "%sREADY %s %s\r\n", response, s.state, s.position()); err != nil {
			return
		}
	}
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// dbSession is the state of a connection to a member.
type dbSession struct {
	member           *member
	number           int
	tenant, state    string
	values, prepared map[string]string
	readWrite        bool
	term             uint64
	transaction      int
	// first is set until the first statement of the transaction.
	first   bool
	pending []write
}

func (s *dbSession) position() string {
	g := s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	_, applied := s.member.counts()
	return g.log[applied-1].position()
}

func (s *dbSession) refuse(code string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERROR " + code + " " + s.member.id + "\r\n"
}

const done = "COMPLETE -\r\n"

// query serves a query, and returns false if the connection has to be closed.
func (s *dbSession) query(id, text string) (string, bool) {
	g, m := s.member.group, s.member
	arrived := time.Now()
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	words := strings.SplitN(text, " ", 4)
	g.mu.Lock()
	if id != "-" && (s.state == "I" || s.first) {
		s.first = false
		g.arrivals = append(g.arrivals, arrival{
			at:      arrived,
			member:  m.id,
			request: id,
		})
	}
	if !m.up {
		g.mu.Unlock()
		return "", false
	}
	code := ""
	switch {
	case s.state == "E" && words[0] != "ROLLBACK" && words[0] != "COMMIT":
		code = "MALFORMED"
	case s.state == "I" && (words[0] == "ROLLBACK" || words[0] == "COMMIT"):
		code = "MALFORMED"
	case after != "" && !m.reached(after):
		code = "LAGGING"
	case s.state == "T" && s.readWrite && words[0] != "ROLLBACK" && (g.primary != m || g.term != s.term) && (words[0] != "COMMIT" || len(s.pending) > 0):
		code = "READONLY"
	}
	g.mu.Unlock()
	if code != "" {
		return s.refuse(code), true
	}
	switch words[0] {
	case "BEGIN":
		g.mu.Lock()
		defer g.mu.Unlock()
		rw := len(words) == 1
		if s.state != "I" {
			return s.refuse("MALFORMED"), true
		}
		if rw && g.primary != m {
			return s.refuse("READONLY"), true
		}
		g.lastTx++
		s.state, s.readWrite, s.term, s.pending, s.transaction, s.first = "T", rw, g.term, nil, g.lastTx, true
		return done, true
	case "ROLLBACK":
		s.state, s.pending, s.transaction, s.first = "I", nil, 0, false
		return done, true
	case "SET":
		s.values[words[1]] = strings.Join(words[2:], " ")
		return done, true
	case "PREPARE":
		s.prepared[words[1]] = strings.Join(words[2:], " ")
		return done, true
	case "DEALLOCATE":
		delete(s.prepared, words[1])
		return done, true
	case "DISCARD":
		s.values, s.prepared = map[string]string{}, map[string]string{}
		return done, true
	case "STATUS", "STEPDOWN":
		g.mu.Lock()
		defer g.mu.Unlock()
		if words[0] == "STEPDOWN" && g.primary == m {
			var term uint64
			if fmt.Sscan(words[1], &term); term > g.term {
				g.primary = nil
				m.receivedN, m.appliedN = len(g.log), len(g.log)
				note("%s: %s stepped down", g.name, m.id)
				go m.report(nil)
			}
		}
		role := "replica"
		if g.primary == m {
			role = "primary"
		}
		received, _ := m.counts()
		return fmt.Sprintf("ROW %s %d %s 0 0 %d %d\r\n%s", role, g.term, g.log[received-1].position(), len(m.slots), len(m.conns), done), true
	case "COMMIT":
		if s.state == "E" {
			s.state, s.pending, s.transaction = "I", nil, 0
			return s.refuse("ABORTED"), true
		}
		return s.run(id, text, arrived, words, true)
	case "READ", "WRITE", "EXECUTE":
		return s.run(id, text, arrived, words, false)
	}
	return s.refuse("MALFORMED"), true
}

// reached reports whether the applied log has a position. The lock must be held.
func (m *member) reached(position string) bool {
	var term, index uint64
	fmt.Sscanf(position, "%d.%d", &term, &index)
	_, applied := m.counts()
	last := m.group.log[applied-1]
	return last.term > term || (last.term == term && last.index >= index)
}

func (s *dbSession) run(id, text string, arrived time.Time, words []string, isCommit bool) (string, bool) {
	g, m := s.member.group, s.member
	access, shape := words[0], ""
	if access == "EXECUTE" {
		var ok bool
		if shape, ok = s.prepared[words[1]]; !ok {
			return s.refuse("NOSTMT"), true
		}
		access, _, _ = strings.Cut(shape, " ")
		words = words[1:]
	}
	g.mu.Lock()
	if m.waiting >= maxWaiting {
		g.mu.Unlock()
		return s.refuse("BUSY"), true
	}
	m.waiting++
	g.mu.Unlock()
	m.slots <- struct{}{}
	g.mu.Lock()
	m.waiting--
	g.mu.Unlock()
	time.Sleep(g.work)
	<-m.slots
	g.mu.Lock()
	if !m.up {
		g.mu.Unlock()
		return "", false
	}
	lost := g.primary != m || g.term != s.term
	if s.state == "T" && s.readWrite && lost && (!isCommit || len(s.pending) > 0) || access == "WRITE" && (g.primary != m || (s.state == "T" && !s.readWrite)) {
		defer g.mu.Unlock()
		if isCommit {
			s.state, s.pending, s.transaction = "I", nil, 0
		}
		return s.refuse("READONLY"), true
	}
	e := &execution{
		at:          time.Now(),
		arrived:     arrived,
		member:      m.id,
		request:     id,
		text:        text,
		tenant:      s.tenant,
		transaction: s.transaction,
		connection:  s.number,
	}
	g.executions = append(g.executions, e)
	mac := fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
	rows := ""
	var c *commit
	switch {
	case access == "READ":
		_, applied := m.counts()
		value := ""
		for i := len(s.pending) - 1; i >= 0 && value == ""; i-- {
			if s.pending[i].item == words[1] {
				value = s.pending[i].value
			}
		}
		for i := applied - 1; i >= 0 && value == ""; i-- {
			for _, w := range g.log[i].writes {
				if w.item == words[1] {
					value = w.value
				}
			}
		}
		rows = "ROW " + value + "\r\n"
	case access == "WRITE":
		w := write{
			item:    words[1],
			value:   strings.Join(words[2:], " "),
			request: id,
		}
		if s.state == "T" {
			s.pending = append(s.pending, w)
		} else {
			c = g.append([]write{w})
		}
	case isCommit:
		if len(s.pending) > 0 {
			c = g.append(s.pending)
		}
		s.state, s.pending, s.transaction = "I", nil, 0
	}
	g.mu.Unlock()
	if c != nil && !g.awaitSync(c) {
		return "", false
	}
	return rows + "COMPLETE " + mac + "\r\n", true
}
