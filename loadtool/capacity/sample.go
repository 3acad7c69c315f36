package capacity

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/loadtool/harness"
)

const (
	// ticksPerSecond is USER_HZ, the unit of the times in /proc/<pid>/stat.
	ticksPerSecond = 100
	// Indexes of the fields of /proc/<pid>/stat after the command, which ends with ")".
	userTicksField   = 11
	systemTicksField = 12
	// residentField is the index of the resident size in /proc/<pid>/statm, in pages.
	residentField = 1
	mebibyte      = 1 << 20
)

// sample holds the resource use and the metrics of one VM at one time.
type sample struct {
	cpu      time.Duration
	resident int64
	metrics  map[string]float64
}

// sampleVM reads the process's resource use before its metrics, so that the cost of the
// metrics request at the end of a window is not measured.
func (f *fleet) sampleVM(v *harness.VM) (sample, error) {
	cpu, err := readCPU(v.PID())
	if err != nil {
		return sample{}, err
	}
	resident, err := readResident(v.PID())
	if err != nil {
		return sample{}, err
	}
	values, err := f.fetchMetrics(v)
	if err != nil {
		return sample{}, err
	}
	return sample{
		cpu:      cpu,
		resident: resident,
		metrics:  values,
	}, nil
}

// sampleAll samples all live VMs at the same time.
func (f *fleet) sampleAll() (map[string]sample, error) {
	live := f.deployment.LiveVMs()
	samples := make([]sample, len(live))
	errs := make([]error, len(live))
	var group sync.WaitGroup
	for i, v := range live {
		group.Go(func() { samples[i], errs[i] = f.sampleVM(v) })
	}
	group.Wait()
	byName := map[string]sample{}
	for i, v := range live {
		if errs[i] != nil {
			return nil, errs[i]
		}
		byName[v.Name] = samples[i]
	}
	return byName, nil
}

// fetchMetrics returns the counters and gauges of a VM.
func (f *fleet) fetchMetrics(v *harness.VM) (map[string]float64, error) {
	var page map[string]struct {
		Count float64 `json:"count"`
		Value float64 `json:"value"`
	}
	if err := f.fetch("http://"+v.Observe.String()+"/metrics.json", &page); err != nil {
		return nil, err
	}
	values := map[string]float64{}
	for name, m := range page {
		values[name] = m.Count + m.Value
	}
	return values, nil
}

// fetchStoreCalls returns the number of calls to the platform's store by kind.
func (f *fleet) fetchStoreCalls() (map[string]float64, error) {
	var calls map[string]float64
	err := f.fetch(f.deployment.PlatformURL()+"/admin/counters", &calls)
	return calls, err
}

func (f *fleet) fetch(url string, target any) error {
	response, err := f.http.Get(url)
	if err != nil {
		return eris.Wrapf(err, "capacity: get %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("capacity: get %s: status %d", url, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		return eris.Wrapf(err, "capacity: decode %s", url)
	}
	return nil
}

func readCPU(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "capacity: read the processor time")
	}
	return parseCPU(string(text))
}

// parseCPU returns the user and system time from a line of /proc/<pid>/stat. The command
// in the line can contain spaces and parentheses.
func parseCPU(text string) (time.Duration, error) {
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	if len(fields) <= systemTicksField {
		return 0, eris.Errorf("capacity: %q is not a line of /proc/<pid>/stat", text)
	}
	total := int64(0)
	for _, field := range fields[userTicksField : systemTicksField+1] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "capacity: read the processor time")
		}
		total += ticks
	}
	return time.Duration(total) * time.Second / ticksPerSecond, nil
}

func readResident(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, eris.Wrap(err, "capacity: read the resident memory")
	}
	fields := strings.Fields(string(text))
	if len(fields) <= residentField {
		return 0, eris.Errorf("capacity: %q is not a line of /proc/<pid>/statm", text)
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	if err != nil {
		return 0, eris.Wrap(err, "capacity: read the resident memory")
	}
	return pages * int64(os.Getpagesize()), nil
}
