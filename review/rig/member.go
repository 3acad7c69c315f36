package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memberSlots       = 5
	memberQueue       = 40
	maxConnections    = 33
	connectionCost    = 12 * time.Millisecond
	replicationDelay  = 20 * time.Millisecond
	promotionDuration = 600 * time.Millisecond
	heartbeat         = 1200 * time.Millisecond
	// defaultWork is how long a statement occupies a slot.
	defaultWork = 15 * time.Millisecond
)

// entry is a commit in the log of a member.
type entry struct {
	term, index uint64
	values      map[string]string
}

// position is the end of a log: a term and a number.
type position struct{ term, index uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.index) }

func (p position) before(q position) bool {
	return p.term < q.term || (p.term == q.term && p.index < q.index)
}

// execution is a statement that a member ran.
type execution struct {
	at         time.Time
	member     string
	connection int
	tenant     string
	id, text   string
	values     map[string]string
}

// database is a service of one primary and its replicas.
type database struct {
	mu       sync.Mutex
	service  string
	store    *store
	record   *record
	term     uint64
	primary  *member
	members  []*member
	executed []execution
	// received holds the ids of the queries that reached a member.
	received map[string]bool
	macs     map[string]string
	// work returns how long a statement takes; nil for defaultWork.
	work func(text string) time.Duration
	// unknownNames holds the times of executions of a name that is not prepared on the
	// connection.
	unknownNames []time.Time
}

// member is one server of a database.
type member struct {
	database    *database
	id, zone    string
	listener    net.Listener
	log         []entry
	connections int
	lastNumber  int
	slots       chan struct{}
	waiting     int
	// failShare is the share of requests that fail although the member is healthy.
	failShare float64
	sequence  int
	born      int64
}

func newDatabase(service string, zones []string, s *store, r *record) (*database, error) {
	d := &database{service: service, store: s, record: r, term: 1, received: map[string]bool{}, macs: map[string]string{}}
	for i, zone := range zones {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &member{
			database: d,
			id:       fmt.Sprintf("i-%s-%d", service, i+1),
			zone:     zone,
			listener: listener,
			log:      []entry{{term: 1, index: 1}},
			slots:    make(chan struct{}, memberSlots),
			born:     time.Now().UnixMilli(),
		}
		d.members = append(d.members, m)
	}
	d.primary = d.members[0]
	for _, m := range d.members {
		go m.serve()
		go m.checkIn()
	}
	return d, nil
}

// checkIn writes the member's entry, which changes only when its role does.
func (m *member) checkIn() {
	lastRole := ""
	for {
		m.database.mu.Lock()
		role := m.role()
		m.sequence++
		sequence := m.sequence
		m.database.mu.Unlock()
		if role != lastRole {
			lastRole = role
			m.database.store.set("servers/"+m.id, map[string]any{
				"service": m.database.service, "address": m.listener.Addr().String(), "zone": m.zone, "version": "v1",
				"slots": memberSlots, "state": "ready", "cold_remaining_ms": 0, "db_role": role, "sequence": sequence, "born": m.born,
			})
		}
		time.Sleep(heartbeat / 10)
	}
}

// role returns how the member sees itself. The caller holds the database's lock.
func (m *member) role() string {
	if m.database.primary == m {
		return "primary"
	}
	return "replica"
}

func (m *member) end() position {
	last := m.log[len(m.log)-1]
	return position{last.term, last.index}
}

// promote makes a member the primary of the next term after promotionDuration.
func (d *database) promote(id string) int {
	for _, m := range d.members {
		if m.id != id {
			continue
		}
		go func() {
			time.Sleep(promotionDuration)
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.primary == m {
				return
			}
			d.term++
			d.primary = m
			for _, other := range d.members {
				if m.end().before(other.end()) {
					other.log = append([]entry(nil), m.log...)
				}
			}
		}()
		return http.StatusOK
	}
	return http.StatusConflict
}

// reached reports whether a query has reached a member, and whether it ran there.
func (d *database) reached(id string) (received, ran bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.executed {
		ran = ran || e.id == id
	}
	return d.received[id], ran
}

// commit appends the values to the primary's log and sends them to the replicas. The caller
// holds the database's lock.
func (d *database) commit(values map[string]string) {
	e := entry{term: d.term, index: d.primary.end().index + 1, values: values}
	d.primary.log = append(d.primary.log, e)
	from := d.primary
	time.AfterFunc(replicationDelay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, m := range d.members {
			if m != from && m.end().before(position{e.term, e.index}) && d.primary == from {
				m.log = append([]entry(nil), from.log...)
			}
		}
	})
}

func (m *member) read(name string) string {
	for i := len(m.log) - 1; i >= 0; i-- {
		if value, ok := m.log[i].values[name]; ok {
			return value
		}
	}
	return "none"
}

func (m *member) serve() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.serveConnection(c)
	}
}

// session is one connection to a member.
type session struct {
	member    *member
	number    int
	tenant    string
	state     string
	plain     bool
	wrote     bool
	values    map[string]string
	prepared  map[string]string
	pending   map[string]string
	startTerm uint64
}

func (m *member) serveConnection(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReaderSize(c, 1<<16)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 4)
	if len(fields) < 3 || fields[0] != "START" || fields[1] != m.database.service || (len(fields) == 4 && fields[3] != m.id) {
		fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", m.id)
		return
	}
	m.database.mu.Lock()
	if m.connections >= maxConnections {
		m.database.mu.Unlock()
		fmt.Fprintf(c, "ERROR TOOMANY %s\r\n", m.id)
		return
	}
	m.connections++
	m.lastNumber++
	s := &session{member: m, number: m.lastNumber, tenant: fields[2], state: "I", values: map[string]string{}, prepared: map[string]string{}}
	end := m.end()
	m.database.mu.Unlock()
	defer func() {
		m.database.mu.Lock()
		m.connections--
		m.database.mu.Unlock()
	}()
	time.Sleep(connectionCost)
	fmt.Fprintf(c, "READY I %s\r\n", end)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if parts[0] != "QUERY" || len(parts) < 3 {
			return
		}
		m.database.mu.Lock()
		m.database.received[parts[1]] = true
		m.database.mu.Unlock()
		m.database.record.printf("%s connection %d (%s): received %s %s", m.id, s.number, s.tenant, parts[1], parts[2])
		response := s.run(parts[1], parts[2])
		m.database.mu.Lock()
		end := m.end()
		m.database.mu.Unlock()
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", response, s.state, end); err != nil {
			return
		}
	}
}

// fail returns an error and marks an open transaction as failed.
func (s *session) fail(code string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERROR " + code + " " + s.member.id + "\r\n"
}

const done = "COMPLETE -\r\n"

// run runs one query and returns its answer without READY.
func (s *session) run(id, text string) string {
	m, d := s.member, s.member.database
	after := position{}
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		var mark string
		mark, text, _ = strings.Cut(rest, " ")
		term, index, _ := strings.Cut(mark, ".")
		after.term, _ = strconv.ParseUint(term, 10, 64)
		after.index, _ = strconv.ParseUint(index, 10, 64)
	}
	words := strings.SplitN(text, " ", 4)
	if s.state == "E" && words[0] != "ROLLBACK" && words[0] != "COMMIT" {
		return s.fail("MALFORMED")
	}
	d.mu.Lock()
	behind := m.end().before(after)
	lead := d.primary == m
	lost := s.plain && s.state == "T" && (!lead || d.term != s.startTerm)
	failing := m.failShare > 0 && words[0] != "ROLLBACK" && words[0] != "STATUS" && words[0] != "STEPDOWN" && mathrand.Float64() < m.failShare
	d.mu.Unlock()
	switch {
	case behind:
		return s.fail("LAGGING")
	case lost && words[0] != "ROLLBACK" && !(words[0] == "COMMIT" && !s.wrote):
		return s.fail("READONLY")
	case failing:
		d.record.printf("%s connection %d (%s): %s %s -> FAILED", m.id, s.number, s.tenant, id, text)
		return s.fail("FAILED")
	}
	switch words[0] {
	case "BEGIN":
		plain := len(words) == 1
		if s.state != "I" {
			return s.fail("MALFORMED")
		}
		if plain && !lead {
			return s.fail("READONLY")
		}
		s.state, s.plain, s.wrote, s.pending = "T", plain, false, map[string]string{}
		d.mu.Lock()
		s.startTerm = d.term
		d.mu.Unlock()
		return done
	case "ROLLBACK":
		if s.state == "I" {
			return s.fail("MALFORMED")
		}
		s.state, s.plain, s.pending = "I", false, nil
		return done
	case "COMMIT":
		return s.commit(id, text)
	case "SET":
		s.values[words[1]] = strings.Join(words[2:], " ")
		return done
	case "PREPARE":
		s.prepared[words[1]] = strings.Join(words[2:], " ")
		return done
	case "DEALLOCATE":
		delete(s.prepared, words[1])
		return done
	case "DISCARD":
		s.values, s.prepared = map[string]string{}, map[string]string{}
		return done
	case "STATUS", "STEPDOWN":
		d.mu.Lock()
		defer d.mu.Unlock()
		if words[0] == "STEPDOWN" && lead {
			if term, _ := strconv.ParseUint(words[1], 10, 64); term > d.term {
				d.primary = nil
			}
		}
		return fmt.Sprintf("ROW %s %d %s 0 0 %d %d\r\n%s", m.role(), d.term, m.end(), len(m.slots), m.connections, done)
	case "READ", "WRITE", "EXECUTE":
		return s.statement(id, text, words, lead)
	}
	return s.fail("MALFORMED")
}

// occupySlot runs a statement in a slot; false if the queue is full.
func (m *member) occupySlot(text string) bool {
	m.database.mu.Lock()
	if m.waiting >= memberQueue {
		m.database.mu.Unlock()
		return false
	}
	m.waiting++
	work := defaultWork
	if m.database.work != nil {
		work = m.database.work(text)
	}
	m.database.mu.Unlock()
	m.slots <- struct{}{}
	m.database.mu.Lock()
	m.waiting--
	m.database.mu.Unlock()
	time.Sleep(work)
	<-m.slots
	return true
}

// note records a statement that ran, and returns its signature. The caller holds the
// database's lock.
func (s *session) note(id, text string) string {
	d := s.member.database
	values := map[string]string{}
	for name, value := range s.values {
		values[name] = value
	}
	d.executed = append(d.executed, execution{
		at: time.Now(), member: s.member.id, connection: s.number, tenant: s.tenant, id: id, text: text, values: values,
	})
	d.record.printf("%s connection %d (%s): ran %s %s with %v", s.member.id, s.number, s.tenant, id, text, values)
	var random [8]byte
	_, _ = rand.Read(random[:])
	d.macs[id] = hex.EncodeToString(random[:])
	return d.macs[id]
}

func (s *session) statement(id, text string, words []string, lead bool) string {
	m, d := s.member, s.member.database
	access, name, data := words[0], "", ""
	if access == "EXECUTE" {
		shape, ok := s.prepared[words[1]]
		if !ok {
			d.mu.Lock()
			d.unknownNames = append(d.unknownNames, time.Now())
			d.mu.Unlock()
			d.record.printf("%s connection %d (%s): %s %s -> NOSTMT", m.id, s.number, s.tenant, id, text)
			return s.fail("NOSTMT")
		}
		access, _, _ = strings.Cut(shape, " ")
		words = words[1:]
	}
	if len(words) > 1 {
		name = words[1]
	}
	if len(words) > 2 {
		data = strings.Join(words[2:], " ")
	}
	if access == "WRITE" && (!lead || (s.state == "T" && !s.plain)) {
		return s.fail("READONLY")
	}
	if !m.occupySlot(text) {
		return s.fail("BUSY")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if access == "WRITE" && d.primary != m {
		return s.fail("READONLY")
	}
	mac := s.note(id, text)
	switch {
	case access == "READ":
		value, ok := s.pending[name]
		if !ok {
			value = m.read(name)
		}
		return "ROW " + value + "\r\nCOMPLETE " + mac + "\r\n"
	case s.state == "T":
		s.wrote = true
		s.pending[name] = data
	default:
		d.commit(map[string]string{name: data})
	}
	return "COMPLETE " + mac + "\r\n"
}

// commit commits the transaction. Once it has received COMMIT, the member carries it out also
// if the connection ends meanwhile.
func (s *session) commit(id, text string) string {
	m, d := s.member, s.member.database
	if s.state == "I" {
		return s.fail("MALFORMED")
	}
	if s.state == "E" {
		s.state, s.pending = "I", nil
		return "ERROR ABORTED " + m.id + "\r\n"
	}
	if !m.occupySlot(text) {
		return "ERROR BUSY " + m.id + "\r\n"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.wrote && (d.primary != m || d.term != s.startTerm) {
		s.state, s.pending = "I", nil
		return "ERROR READONLY " + m.id + "\r\n"
	}
	mac := s.note(id, text)
	if s.wrote {
		d.commit(s.pending)
	}
	s.state, s.plain, s.pending = "I", false, nil
	return "COMPLETE " + mac + "\r\n"
}
