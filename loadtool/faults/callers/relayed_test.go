package callers_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	"amaranthdock.dev/api/amaranthdock/caller/v1/callerv1connect"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/client"
)

// scannedRows rows of rowLength are several times the memory of the process for answers.
const scannedRows = 30

// forward sends statements as other VMs do, and stops partway. It returns at the end of crowdTime.
func (d *deployment) forward(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, crowdTime)
	defer cancel()
	encoded, err := proto.Marshal(&peerv1.ForwardRequest{
		Workspace: "forwarded",
		Database:  d.database,
		Statement: &callerv1.Statement{
			Command:   "put",
			Arguments: []string{"large", strings.Repeat("x", messageLength)},
		},
	})
	if err != nil {
		return
	}
	message := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(encoded))), encoded...)
	var requests sync.WaitGroup
	for range connections {
		transport := d.transport()
		for range streams {
			requests.Go(func() {
				body := newStoppedReader(message[:messageLength*9/10])
				defer body.Close()
				url := "http://" + d.vm.Peer().String() + peerv1connect.PeerServiceForwardProcedure
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
				if err != nil {
					return
				}
				request.Header.Set("Content-Type", "application/connect+proto")
				request.Header.Set("Connect-Protocol-Version", "1")
				if response, err := transport.RoundTrip(request); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			})
		}
	}
	requests.Wait()
}

var _ = Describe("memory of what VMs and endpoints send", func() {
	var d *deployment

	BeforeEach(func(ctx SpecContext) { d = start(ctx) })

	// Guards against forwarded statements that are in memory before the budget knows of them.
	It("outlasts forwarded statements that stop partway", func(ctx SpecContext) {
		d.forward(ctx)
		d.check(ctx)
	})

	// Guards against answers of endpoints that are in memory before the budget knows of them.
	It("outlasts long answers of endpoints", func(ctx SpecContext) {
		for i := range scannedRows {
			Expect(d.execute(ctx, client.Statement{
				Command:   "put",
				Arguments: []string{fmt.Sprintf("row%d", i), strings.Repeat("x", rowLength)},
				Write:     true,
			})).To(Succeed())
		}
		message := d.message(callerv1.Access_ACCESS_READ, "scan", "row", fmt.Sprint(scannedRows))
		d.crowd(ctx, callerv1connect.CallerServiceExecuteProcedure, func() io.Reader { return bytes.NewReader(message) }, true)
		d.check(ctx)
	})
})
