package workload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/google/uuid"

	"amaranthdock.dev/client"
	"amaranthdock.dev/timer"
)

// Mix holds the shares of the kinds of requests, in percent; the rest are reads.
type Mix struct {
	Writes       int
	Transactions int
	MaxAgeReads  int
}

// SessionConfig configures one caller session.
type SessionConfig struct {
	Name      string
	Workspace string
	Worth     int
	Key       string
	Database  string
	// Targets returns the proxies that the load balancer would pick from.
	Targets func() []netip.AddrPort
	Mix     Mix
	// Pause between two requests.
	Pause time.Duration
	// Timeout of a request.
	Timeout time.Duration
	// MaxAge that the aged reads accept.
	MaxAge     time.Duration
	Seed       uint64
	HTTPClient *http.Client
	Timer      timer.Service
	Recorder   *Recorder
}

// Session runs requests one after another, each at a random proxy, and checks
// that it reads its own writes.
type Session struct {
	config  SessionConfig
	random  *rand.Rand
	tokens  *client.Session
	counter int
	// acknowledged is the last value of the session's own key that was
	// acknowledged; attempted is the last one sent.
	acknowledged int
	attempted    int
}

// NewSession returns a Session.
func NewSession(config SessionConfig) *Session {
	return &Session{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 0)),
		tokens: client.NewSession(),
	}
}

// Run sends requests until the context ends.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.step(ctx)
		pause := time.Duration(float64(s.config.Pause) * (0.5 + s.random.Float64()))
		if err := timer.Sleep(ctx, s.config.Timer, pause); err != nil {
			return
		}
	}
}

// step sends one request. Requests that have begun are finished after the end of
// the run, so that their outcome is known.
func (s *Session) step(ctx context.Context) {
	ctx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), s.config.Timer, s.config.Timeout)
	defer cancel()
	targets := s.config.Targets()
	if len(targets) == 0 {
		return
	}
	target := targets[s.random.IntN(len(targets))]
	c, err := client.New(client.Config{
		BaseURL:    "http://" + target.String(),
		HTTPClient: s.config.HTTPClient,
		Key:        s.config.Key,
		Session:    s.tokens,
	})
	if err != nil {
		return
	}
	const percent = 100
	mix := s.config.Mix
	switch p := s.random.IntN(percent); {
	case p < mix.Writes/2:
		s.insert(ctx, c)
	case p < mix.Writes:
		s.put(ctx, c)
	case p < mix.Writes+mix.Transactions:
		s.transact(ctx, c)
	case p < mix.Writes+mix.Transactions+mix.MaxAgeReads:
		s.readAged(ctx, c)
	default:
		s.read(ctx, c)
	}
}

// insert adds a record that exists once.
func (s *Session) insert(ctx context.Context, c *client.Client) {
	key := s.nextKey()
	s.write(ctx, c, client.Statement{
		Database:  s.config.Database,
		Command:   "insert",
		Arguments: []string{key, s.config.Name},
		Write:     true,
		RequestID: uuid.NewString(),
	}, key)
}

// put writes the next value of the session's own key.
func (s *Session) put(ctx context.Context, c *client.Client) {
	s.attempted++
	value := s.attempted
	if s.write(ctx, c, client.Statement{
		Database:  s.config.Database,
		Command:   "put",
		Arguments: []string{s.ownKey(), strconv.Itoa(value)},
		Write:     true,
		RequestID: uuid.NewString(),
	}, s.ownKey()) == nil {
		s.acknowledged = value
	}
}

func (s *Session) write(ctx context.Context, c *client.Client, statement client.Statement, key string) error {
	began := s.config.Timer.Now()
	_, err := c.Execute(ctx, statement)
	s.finish(KindWrite, began, err, false)
	s.journalWrite(statement.RequestID, []string{key}, began, err)
	return err
}

// transact inserts two records in one transaction.
func (s *Session) transact(ctx context.Context, c *client.Client) {
	began := s.config.Timer.Now()
	keys := []string{s.nextKey(), s.nextKey()}
	transaction, err := c.Begin(ctx, s.config.Database)
	if err != nil {
		s.finish(KindTransaction, began, err, false)
		return
	}
	for _, key := range keys {
		_, err = transaction.Execute(ctx, client.Statement{
			Command:   "insert",
			Arguments: []string{key, s.config.Name},
			Write:     true,
			RequestID: uuid.NewString(),
		})
		if err != nil {
			// Nothing was committed; the rollback only frees the connection.
			_ = transaction.Rollback(ctx)
			s.finish(KindTransaction, began, err, false)
			return
		}
	}
	err = transaction.Commit(ctx)
	s.finish(KindTransaction, began, err, false)
	s.journalWrite(transaction.CommitID(), keys, began, err)
}

// read reads the session's own key and checks the value.
func (s *Session) read(ctx context.Context, c *client.Client) {
	s.readOwn(ctx, c, KindRead, 0)
}

func (s *Session) readAged(ctx context.Context, c *client.Client) {
	s.readOwn(ctx, c, KindMaxAgeRead, s.config.MaxAge)
}

func (s *Session) readOwn(ctx context.Context, c *client.Client, kind Kind, age time.Duration) {
	began := s.config.Timer.Now()
	result, err := c.Execute(ctx, client.Statement{
		Database:  s.config.Database,
		Command:   "get",
		Arguments: []string{s.ownKey()},
		MaxAge:    age,
	})
	s.finish(kind, began, err, result.FromReplica)
	if err != nil {
		return
	}
	value := 0
	if len(result.Rows) == 1 && len(result.Rows[0]) > 0 {
		// A value that is no number counts as 0, and so as stale.
		value, _ = strconv.Atoi(result.Rows[0][len(result.Rows[0])-1])
	}
	if value < s.acknowledged || value > s.attempted {
		s.config.Recorder.recordStale(fmt.Sprintf("%s read %d at %s, acknowledged %d, attempted %d",
			s.config.Name, value, result.Endpoint, s.acknowledged, s.attempted))
	}
}

func (s *Session) finish(kind Kind, began time.Time, err error, replica bool) {
	s.config.Recorder.observe(observation{
		kind:      kind,
		workspace: s.config.Workspace,
		worth:     s.config.Worth,
		err:       err,
		latency:   s.config.Timer.Now().Sub(began),
		replica:   replica,
	})
}

func (s *Session) journalWrite(requestID string, keys []string, began time.Time, err error) {
	outcome, reason := Classify(err)
	s.config.Recorder.recordWrite(WriteRecord{
		RequestID: requestID,
		Database:  s.config.Database,
		Workspace: s.config.Workspace,
		Keys:      keys,
		Outcome:   outcome,
		Reason:    reason,
		StartedAt: began,
		EndedAt:   s.config.Timer.Now(),
	})
}

func (s *Session) nextKey() string {
	s.counter++
	return fmt.Sprintf("%s/%s/%d", s.config.Workspace, s.config.Name, s.counter)
}

func (s *Session) ownKey() string {
	return s.config.Workspace + "/" + s.config.Name + "/own"
}
