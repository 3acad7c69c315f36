package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"time"
)

const answerLimit = 10 * time.Second

// client is one session of a consumer.
type client struct {
	name   string
	record *record
	conn   net.Conn
	reader *bufio.Reader
	state  string
}

// reply is the complete answer to a query, or the reason for which there is none.
type reply struct {
	rows  []string
	mac   string
	code  string
	state string
	// lost is set if the connection ended or the time was over without a complete answer.
	lost error
}

// ok reports whether the query succeeded.
func (r reply) ok() bool { return r.lost == nil && r.code == "" }

func (r reply) String() string {
	switch {
	case r.lost != nil:
		return "no complete answer: " + r.lost.Error()
	case r.code != "":
		return "ERROR " + r.code + ", state " + r.state
	default:
		return fmt.Sprintf("rows %v, MAC %s, state %s", r.rows, r.mac, r.state)
	}
}

// dial opens a session at a process. The error holds the code of a refusal.
func dial(r *record, name string, v *vm, host, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", v.caller, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, record: r, conn: conn, reader: bufio.NewReader(conn), state: "I"}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", host, key); err != nil {
		conn.Close()
		return nil, err
	}
	line, err := c.reader.ReadString('\n')
	r.printf("%s -> %s: START %s: %s", name, v.name, host, strings.TrimSpace(line))
	if err != nil {
		conn.Close()
		return nil, err
	}
	if !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil, fmt.Errorf("%s", strings.TrimSpace(line))
	}
	return c, nil
}

func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// query sends a query with a new id and reads the complete answer.
func (c *client) query(text string) (string, reply) {
	id := newID()
	return id, c.queryWithID(id, text)
}

func (c *client) queryWithID(id, text string) reply {
	c.record.printf("%s sends %s %s", c.name, id, text)
	result := c.exchange(id, text)
	c.record.printf("%s gets for %s: %s", c.name, id, result)
	return result
}

func (c *client) exchange(id, text string) reply {
	_ = c.conn.SetDeadline(time.Now().Add(answerLimit))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return reply{lost: err}
	}
	var result reply
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			result.lost = err
			return result
		}
		keyword, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch keyword {
		case "ROW":
			result.rows = append(result.rows, rest)
		case "COMPLETE":
			result.mac = rest
		case "ERROR":
			result.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			result.state, _, _ = strings.Cut(rest, " ")
			c.state = result.state
			return result
		}
	}
}

func (c *client) close() { c.conn.Close() }
