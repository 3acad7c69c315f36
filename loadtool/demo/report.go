package demo

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/workload"
)

// workOf names the users' work that each kind of request stands for.
var workOf = map[string]map[workload.Kind]string{
	"hladnik": {
		workload.KindMaxAgeRead:  "verification queries",
		workload.KindRead:        "own entries read back",
		workload.KindTransaction: "certificates with logbook entry",
		workload.KindWrite:       "certificates, logbook entries",
	},
	"saltmyri": {
		workload.KindMaxAgeRead:  "intake desk queries",
		workload.KindRead:        "own entries read back",
		workload.KindTransaction: "lambing entries with pasture move",
		workload.KindWrite:       "tag readings, pasture moves",
	},
}

// report prints the tables and returns an error if a record is not as it must be.
func (r *runner) report() error {
	r.printf("\n")
	if err := r.journal.WriteTable(r.config.Output, workOf[r.config.Shape.Name]); err != nil {
		return eris.Wrap(err, "demo: report")
	}
	r.printf("reads served by replicas: %.1f%%\n", 100*r.journal.ReplicaShare())
	// The members replicate what is still under way.
	<-r.config.Timer.After(settleTime).C()
	clean := true
	for _, database := range r.config.Shape.Databases {
		verdict, err := r.verify(database)
		if err != nil {
			return err
		}
		clean = clean && verdict.Passed()
		r.printf("%s: %d acknowledged, %d not run, %d unknown; lost %d, doubled %d, false not run %d, wrong workspace %d; longest write gap %s\n",
			database, verdict.Acknowledged, verdict.NotRun, verdict.Unknown,
			len(verdict.Lost), len(verdict.Doubled), len(verdict.FalseNotRun), len(verdict.WrongWorkspace),
			workload.LongestWriteGap(r.journal.Writes(), database).Round(time.Millisecond))
		if !verdict.Passed() {
			r.printf("  lost %v doubled %v false not run %v wrong workspace %v\n",
				first(verdict.Lost), first(verdict.Doubled), first(verdict.FalseNotRun), first(verdict.WrongWorkspace))
		}
	}
	stale := r.journal.StaleReads()
	r.printf("stale reads: %d\n", len(stale))
	for _, s := range stale {
		r.printf("  %s\n", s)
	}
	if !clean || len(stale) > 0 {
		return eris.New("demo: a record was lost, doubled, misreported or read stale")
	}
	r.printf("no record lost, doubled, misreported or read stale\n")
	return nil
}

// first returns the first few of a list.
func first(names []string) []string {
	const few = 5
	return names[:min(few, len(names))]
}

func (r *runner) verify(database string) (*workload.VerifyResult, error) {
	var logs []*workload.MemberLog
	for _, m := range r.deployment.MembersOf(database) {
		log, err := workload.FetchLog(r.http, r.deployment.MemberURL(m))
		if err != nil {
			// A killed member has no log to show.
			continue
		}
		logs = append(logs, log)
	}
	return workload.Verify(r.journal.Writes(), database, logs)
}

const (
	// pathRequests is the number of reads on each path.
	pathRequests = 500
	percentile50 = 50
	percentile99 = 99
	maxLatency   = time.Minute
	digits       = 3
)

// comparePaths measures a read through the system against a read on an open
// connection to the member itself, in turn.
func (r *runner) comparePaths(ctx context.Context) error {
	database := r.config.Shape.Databases[0]
	v := r.deployment.VMs[0]
	c, err := r.client(v)
	if err != nil {
		return err
	}
	direct, err := r.openDirect(ctx, database)
	if err != nil {
		return err
	}
	defer direct.CloseRequest()
	through := hdrhistogram.New(1, int64(maxLatency), digits)
	straight := hdrhistogram.New(1, int64(maxLatency), digits)
	for i := range pathRequests {
		began := r.config.Timer.Now()
		if _, err := c.Execute(ctx, client.Statement{
			Database:  database,
			Command:   "get",
			Arguments: []string{"ready/" + v.Name},
		}); err != nil {
			return eris.Wrap(err, "demo: read through the system")
		}
		middle := r.config.Timer.Now()
		if err := runDirect(direct, uint64(i+1), "ready/"+v.Name); err != nil {
			return err
		}
		// Latencies are far below the histogram's bound.
		_ = through.RecordValue(int64(middle.Sub(began)))
		_ = straight.RecordValue(int64(r.config.Timer.Now().Sub(middle)))
	}
	r.printf("read through the system: p50 %s, p99 %s; directly at a member: p50 %s, p99 %s\n",
		quantile(through, percentile50), quantile(through, percentile99),
		quantile(straight, percentile50), quantile(straight, percentile99))
	return nil
}

// openDirect opens a database connection to the first member of a database.
func (r *runner) openDirect(ctx context.Context, database string) (connectStream, error) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	httpClient := &http.Client{
		Transport: &http.Transport{
			Protocols: protocols,
		},
	}
	members := r.deployment.MembersOf(database)
	service := endpointv1connect.NewEndpointServiceClient(httpClient, r.deployment.MemberURL(members[0]))
	stream, err := service.Connect(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "demo: connect to a member")
	}
	if err := stream.Send(&endpointv1.ConnectRequest{
		Frame: &endpointv1.ConnectRequest_Hello{
			Hello: &endpointv1.Hello{
				Proxy: netip.IPv4Unspecified().String(),
			},
		},
	}); err != nil {
		return nil, eris.Wrap(err, "demo: greet a member")
	}
	if _, err := stream.Receive(); err != nil {
		return nil, eris.Wrap(err, "demo: greeting of a member")
	}
	return stream, nil
}

func runDirect(stream connectStream, id uint64, key string) error {
	if err := stream.Send(&endpointv1.ConnectRequest{
		Frame: &endpointv1.ConnectRequest_Run{
			Run: &endpointv1.Run{
				Id:     id,
				Verb:   endpointv1.Verb_VERB_EXECUTE,
				Access: callerv1.Access_ACCESS_READ,
				Statement: &callerv1.Statement{
					Command:   "get",
					Arguments: []string{key},
				},
			},
		},
	}); err != nil {
		return eris.Wrap(err, "demo: read at a member")
	}
	for {
		response, err := stream.Receive()
		if err != nil {
			return eris.Wrap(err, "demo: answer of a member")
		}
		if failure := response.GetFailure(); failure != nil {
			return eris.Errorf("demo: read at a member: %s", failure.GetReason())
		}
		if response.GetPiece().GetLast() {
			return nil
		}
	}
}

func quantile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	const precision = 10 * time.Microsecond
	return time.Duration(h.ValueAtQuantile(percentile)).Round(precision)
}

// connectStream is the part of a connection's stream that the demo uses.
type connectStream interface {
	CloseRequest() error
	Receive() (*endpointv1.ConnectResponse, error)
	Send(request *endpointv1.ConnectRequest) error
}
