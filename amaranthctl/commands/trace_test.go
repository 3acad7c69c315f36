package commands

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// logs are lines of two VMs in the format of the test programs: with a time and a
// name before each JSON object, and out of order.
const logs = `  9.9 vm2 {"level":"info","time":"2026-01-01T10:00:09.9Z","part":"caller","msg":"Refused a statement.","vm":"vm2","request":"r1","reason":"noPrimary","outcome":"notRun","database":"db"}
  9.1 vm2 {"level":"debug","time":"2026-01-01T10:00:09.1Z","part":"caller","msg":"Trying a statement again.","vm":"vm2","request":"r1","database":"db","endpoint":"e1","home":"vm3","reason":"unreachable"}
  8.0 vm3 {"level":"info","time":"2026-01-01T10:00:08Z","part":"endpoint","msg":"The endpoint does not answer.","vm":"vm3","endpoint":"e1","database":"db"}
  8.1 vm3 {"level":"info","time":"2026-01-01T10:00:08.1Z","part":"view","msg":"An endpoint changed.","vm":"vm3","endpoint":"e9","database":"other"}
  2.0 vm3 {"level":"info","time":"2026-01-01T10:00:02Z","part":"endpoint","msg":"The endpoint answers again.","vm":"vm3","endpoint":"e1","database":"db"}
no JSON object
  9.5 vm2 {"broken
  7.0 vm2 {"level":"info","time":"2026-01-01T10:00:07Z","part":"caller","msg":"Refused a statement.","vm":"vm2","request":"r2","reason":"rateExceeded","outcome":"notRun","database":"db"}
  7.5 vm2 {"level":"debug","time":"2026-01-01T10:00:07.5Z","part":"caller","msg":"Served a statement.","vm":"vm2","request":"r3","database":"db","endpoint":"e1","home":"vm3"}
`

var _ = Describe("trace", func() {
	read := func() []*logLine {
		GinkgoHelper()
		lines, err := readLogs(nil, strings.NewReader(logs))
		Expect(err).NotTo(HaveOccurred())
		return lines
	}
	messages := func(lines []*logLine) []string {
		var found []string
		for _, l := range lines {
			found = append(found, l.VM+": "+l.Message)
		}
		return found
	}

	It("lists the lines of a refused request in order, from all VMs that handled it", func() {
		found := buildTrace("r1", read())
		Expect(messages(found.Lines)).To(Equal([]string{
			"vm3: The endpoint does not answer.",
			"vm2: Trying a statement again.",
			"vm2: Refused a statement.",
		}))
		Expect(found.FirstCause.Message).To(Equal("The endpoint does not answer."))
	})

	It("names a rate limit, and no endpoint, as the cause of a refusal by that limit", func() {
		Expect(buildTrace("r2", read()).FirstCause.text("reason")).To(Equal("rateExceeded"))
	})

	It("finds no cause for a request that succeeded", func() {
		found := buildTrace("r3", read())
		Expect(found.FirstCause).To(BeNil())
		Expect(messages(found.Lines)).To(Equal([]string{"vm2: Served a statement."}))
	})

	It("finds nothing for an ID without log lines", func() {
		Expect(buildTrace("none", read()).Lines).To(BeEmpty())
	})

	It("shows the state changes around a time", func() {
		around := time.Date(2026, 1, 1, 10, 0, 8, 0, time.UTC)
		Expect(messages(stateChanges(read(), around, time.Second))).To(Equal([]string{
			"vm3: The endpoint does not answer.",
			"vm3: An endpoint changed.",
		}))
		Expect(stateChanges(read(), time.Time{}, 0)).To(HaveLen(3))
	})
})
