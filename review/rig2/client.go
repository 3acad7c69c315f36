package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"
)

// answer is a consumer's view of one request.
type answer struct {
	session   int
	id, text  string
	host, key string
	vm        string
	// inTransaction numbers the consumer's transaction; 0 for none. began is its first byte.
	transaction int
	began       time.Time
	sent, at    time.Time
	code        string // OK, an error code, or CUT
	mac         string
	rows        []string
}

// recorder collects what consumers saw.
type recorder struct {
	mu       sync.Mutex
	answers  []*answer
	sessions int
	txs      int
}

func (r *recorder) add(a *answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

// consumer is one session.
type consumer struct {
	rec       *recorder
	number    int
	vm        *vm
	host, key string
	conn      net.Conn
	reader    *bufio.Reader
	tx        int
	began     time.Time
}

// dial opens a session; nil if that fails.
func dial(rec *recorder, v *vm, host, key string) (*consumer, string) {
	conn, err := net.DialTimeout("tcp4", v.front, 2*time.Second)
	if err != nil {
		return nil, "CUT"
	}
	c := &consumer{
		rec:    rec,
		vm:     v,
		host:   host,
		key:    key,
		conn:   conn,
		reader: bufio.NewReader(conn),
	}
	rec.mu.Lock()
	rec.sessions++
	c.number = rec.sessions
	rec.mu.Unlock()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "START %s %s\r\n", host, key)
	line, err := readLine(c.reader)
	if err != nil {
		conn.Close()
		return nil, "CUT"
	}
	if !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil, strings.Fields(line + " ? ?")[1]
	}
	return c, "OK"
}

func (c *consumer) close() { c.conn.Close() }

// do sends a request and waits for its answer.
func (c *consumer) do(text string) *answer {
	a := &answer{
		session: c.number,
		id:      fmt.Sprintf("%016x", rand.Uint64()),
		text:    text,
		host:    c.host,
		key:     c.key,
		vm:      c.vm.name,
		sent:    time.Now(),
	}
	if strings.HasPrefix(text, "BEGIN") {
		c.rec.mu.Lock()
		c.rec.txs++
		c.tx = c.rec.txs
		c.rec.mu.Unlock()
		c.began = a.sent
	}
	a.transaction, a.began = c.tx, a.sent
	if c.tx != 0 {
		a.began = c.began
	}
	c.conn.SetDeadline(time.Now().Add(12 * time.Second))
	state := "?"
	a.code = "CUT"
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); err == nil {
		for {
			line, err := readLine(c.reader)
			if err != nil {
				a.code = "CUT"
				break
			}
			word, rest, _ := strings.Cut(line, " ")
			switch word {
			case "ROW":
				a.rows = append(a.rows, rest)
				continue
			case "COMPLETE":
				a.code, a.mac = "OK", rest
				continue
			case "ERROR":
				a.code = strings.Fields(rest + " ?")[0]
				continue
			case "READY":
				state = strings.Fields(rest + " ?")[0]
			}
			break
		}
	}
	a.at = time.Now()
	if state == "I" || state == "?" {
		c.tx = 0
	}
	c.rec.add(a)
	return a
}
