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

// Mix holds the percentages of the kinds of requests; the rest are reads.
type Mix struct {
	Writes       int
	Transactions int
	MaxAgeReads  int
}

// SessionConfig configures a caller session.
type SessionConfig struct {
	Name      string
	Workspace string
	Worth     int
	Key       string
	Database  string
	// Targets returns the addresses of the proxies among which the load balancer chooses.
	Targets func() []netip.AddrPort
	Mix     Mix
	// Pause is the mean pause between two requests.
	Pause time.Duration
	// Timeout is the timeout of each request.
	Timeout time.Duration
	// MaxAge is the maximum data age that max-age reads accept.
	MaxAge     time.Duration
	Seed       uint64
	HTTPClient *http.Client
	Timer      timer.Service
	Recorder   *Recorder
}

// Session sends requests one after another, each to a random proxy, and checks that it can
// read its own writes.
type Session struct {
	config  SessionConfig
	random  *rand.Rand
	session *client.Session
	lastKey int
	// acknowledgedValue is the last value of the session's own key that was acknowledged;
	// attemptedValue is the last one sent.
	acknowledgedValue int
	attemptedValue    int
}

// NewSession returns a Session.
func NewSession(config SessionConfig) *Session {
	return &Session{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, 0)),
		session: client.NewSession(),
	}
}

// Run sends requests until the context ends.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.sendRequest(ctx)
		pause := time.Duration(float64(s.config.Pause) * (0.5 + s.random.Float64()))
		if err := timer.Sleep(ctx, s.config.Timer, pause); err != nil {
			return
		}
	}
}

// sendRequest sends one request. A request that was sent before the end of the run is
// completed after it, so that its outcome is known.
func (s *Session) sendRequest(ctx context.Context) {
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
		Session:    s.session,
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
		s.runTransaction(ctx, c)
	case p < mix.Writes+mix.Transactions+mix.MaxAgeReads:
		s.readWithMaxAge(ctx, c)
	default:
		s.read(ctx, c)
	}
}

// insert inserts a record under a new key.
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
	s.attemptedValue++
	value := s.attemptedValue
	if s.write(ctx, c, client.Statement{
		Database:  s.config.Database,
		Command:   "put",
		Arguments: []string{s.ownKey(), strconv.Itoa(value)},
		Write:     true,
		RequestID: uuid.NewString(),
	}, s.ownKey()) == nil {
		s.acknowledgedValue = value
	}
}

func (s *Session) write(ctx context.Context, c *client.Client, statement client.Statement, key string) error {
	startedAt := s.config.Timer.Now()
	_, err := c.Execute(ctx, statement)
	s.recordRequest(KindWrite, startedAt, err, false)
	s.recordWrite(statement.RequestID, []string{key}, startedAt, err)
	return err
}

// runTransaction inserts two records in one transaction.
func (s *Session) runTransaction(ctx context.Context, c *client.Client) {
	startedAt := s.config.Timer.Now()
	keys := []string{s.nextKey(), s.nextKey()}
	transaction, err := c.Begin(ctx, s.config.Database)
	if err != nil {
		s.recordRequest(KindTransaction, startedAt, err, false)
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
			s.recordRequest(KindTransaction, startedAt, err, false)
			return
		}
	}
	err = transaction.Commit(ctx)
	s.recordRequest(KindTransaction, startedAt, err, false)
	s.recordWrite(transaction.CommitID(), keys, startedAt, err)
}

// read reads the session's own key and checks the value.
func (s *Session) read(ctx context.Context, c *client.Client) {
	s.readOwnKey(ctx, c, KindRead, 0)
}

func (s *Session) readWithMaxAge(ctx context.Context, c *client.Client) {
	s.readOwnKey(ctx, c, KindMaxAgeRead, s.config.MaxAge)
}

func (s *Session) readOwnKey(ctx context.Context, c *client.Client, kind Kind, maxAge time.Duration) {
	startedAt := s.config.Timer.Now()
	result, err := c.Execute(ctx, client.Statement{
		Database:  s.config.Database,
		Command:   "get",
		Arguments: []string{s.ownKey()},
		MaxAge:    maxAge,
	})
	s.recordRequest(kind, startedAt, err, result.FromReplica)
	if err != nil {
		return
	}
	value := 0
	if len(result.Rows) == 1 && len(result.Rows[0]) > 0 {
		// A value that is not a number counts as 0 and so as stale.
		value, _ = strconv.Atoi(result.Rows[0][len(result.Rows[0])-1])
	}
	if value < s.acknowledgedValue || value > s.attemptedValue {
		s.config.Recorder.recordStaleRead(fmt.Sprintf("%s read %d at %s, acknowledged %d, attempted %d",
			s.config.Name, value, result.Endpoint, s.acknowledgedValue, s.attemptedValue))
	}
}

func (s *Session) recordRequest(kind Kind, startedAt time.Time, err error, fromReplica bool) {
	s.config.Recorder.recordRequest(requestResult{
		kind:        kind,
		workspace:   s.config.Workspace,
		worth:       s.config.Worth,
		err:         err,
		latency:     s.config.Timer.Now().Sub(startedAt),
		fromReplica: fromReplica,
	})
}

func (s *Session) recordWrite(requestID string, keys []string, startedAt time.Time, err error) {
	outcome, reason := Classify(err)
	s.config.Recorder.recordWrite(WriteRecord{
		RequestID: requestID,
		Database:  s.config.Database,
		Workspace: s.config.Workspace,
		Keys:      keys,
		Outcome:   outcome,
		Reason:    reason,
		StartedAt: startedAt,
		EndedAt:   s.config.Timer.Now(),
	})
}

func (s *Session) nextKey() string {
	s.lastKey++
	return fmt.Sprintf("%s/%s/%d", s.config.Workspace, s.config.Name, s.lastKey)
}

func (s *Session) ownKey() string {
	return s.config.Workspace + "/" + s.config.Name + "/own"
}
