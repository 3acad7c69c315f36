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

// requestNames holds the users' terms for each kind of request, by deployment.
var requestNames = map[string]map[workload.Kind]string{
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

// report prints the tables and returns an error if any check failed.
func (r *runner) report() error {
	r.printf("\n")
	if err := r.recorder.WriteTable(r.config.Output, requestNames[r.config.Spec.Name]); err != nil {
		return eris.Wrap(err, "demo: write the report")
	}
	r.printf("reads served by replicas: %.1f%%\n", 100*r.recorder.ReplicaShare())
	// Wait until the members have replicated the last writes.
	<-r.config.Timer.After(settleTime).C()
	clean := true
	for _, database := range r.config.Spec.Databases {
		result, err := r.verifyDatabase(database)
		if err != nil {
			return err
		}
		clean = clean && result.Passed()
		r.printf("%s: %d acknowledged, %d not run, %d unknown; lost %d, doubled %d, false not run %d, wrong workspace %d; longest write gap %s\n",
			database, result.Acknowledged, result.NotRun, result.Unknown,
			len(result.Lost), len(result.Doubled), len(result.FalseNotRun), len(result.WrongWorkspace),
			workload.LongestWriteGap(r.recorder.Writes(), database).Round(time.Millisecond))
		if !result.Passed() {
			r.printf("  lost %v doubled %v false not run %v wrong workspace %v\n",
				firstFew(result.Lost), firstFew(result.Doubled), firstFew(result.FalseNotRun), firstFew(result.WrongWorkspace))
		}
	}
	stale := r.recorder.StaleReads()
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

// firstFew returns the first elements of a list.
func firstFew(names []string) []string {
	const few = 5
	return names[:min(few, len(names))]
}

func (r *runner) verifyDatabase(database string) (*workload.VerifyResult, error) {
	var logs []*workload.MemberLog
	for _, m := range r.deployment.MembersOf(database) {
		log, err := workload.FetchLog(r.http, r.deployment.MemberURL(m))
		if err != nil {
			// A killed member does not respond.
			continue
		}
		logs = append(logs, log)
	}
	return workload.Verify(r.recorder.Writes(), database, logs)
}

const (
	// comparedReads is the number of reads through the proxy, and of direct reads.
	comparedReads     = 500
	percentile50      = 50
	percentile99      = 99
	maxLatency        = time.Minute
	significantDigits = 3
)

// compareLatency alternates reads through the proxy with reads on an open connection to a
// member, and prints the latencies of both.
func (r *runner) compareLatency(ctx context.Context) error {
	database := r.config.Spec.Databases[0]
	v := r.deployment.VMs[0]
	c, err := r.client(v)
	if err != nil {
		return err
	}
	stream, err := r.connectToMember(ctx, database)
	if err != nil {
		return err
	}
	defer stream.CloseRequest()
	proxyLatency := hdrhistogram.New(1, int64(maxLatency), significantDigits)
	directLatency := hdrhistogram.New(1, int64(maxLatency), significantDigits)
	for i := range comparedReads {
		startedAt := r.config.Timer.Now()
		if _, err := c.Execute(ctx, client.Statement{
			Database:  database,
			Command:   "get",
			Arguments: []string{"ready/" + v.Name},
		}); err != nil {
			return eris.Wrap(err, "demo: read through the proxy")
		}
		proxyDone := r.config.Timer.Now()
		if err := readFromMember(stream, uint64(i+1), "ready/"+v.Name); err != nil {
			return err
		}
		// Latencies are far below the histogram's limit.
		_ = proxyLatency.RecordValue(int64(proxyDone.Sub(startedAt)))
		_ = directLatency.RecordValue(int64(r.config.Timer.Now().Sub(proxyDone)))
	}
	r.printf("read through the system: p50 %s, p99 %s; directly at a member: p50 %s, p99 %s\n",
		quantile(proxyLatency, percentile50), quantile(proxyLatency, percentile99),
		quantile(directLatency, percentile50), quantile(directLatency, percentile99))
	return nil
}

// connectToMember opens a database connection to the first member of a database.
func (r *runner) connectToMember(ctx context.Context, database string) (connectStream, error) {
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
		return nil, eris.Wrap(err, "demo: send the hello to a member")
	}
	if _, err := stream.Receive(); err != nil {
		return nil, eris.Wrap(err, "demo: receive a member's response to the hello")
	}
	return stream, nil
}

func readFromMember(stream connectStream, id uint64, key string) error {
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
		return eris.Wrap(err, "demo: send a read to a member")
	}
	for {
		response, err := stream.Receive()
		if err != nil {
			return eris.Wrap(err, "demo: receive a response from a member")
		}
		if failure := response.GetFailure(); failure != nil {
			return eris.Errorf("demo: a member refused a read: %s", failure.GetReason())
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

// connectStream holds the methods of a connection's stream that the demo uses.
type connectStream interface {
	CloseRequest() error
	Receive() (*endpointv1.ConnectResponse, error)
	Send(request *endpointv1.ConnectRequest) error
}
