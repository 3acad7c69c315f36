package observe_test

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/observe"
	"amaranthdock.dev/settings"
	"amaranthdock.dev/timer"
)

func TestObserve(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "observe")
}

var _ = Describe("Server", func() {
	const secret = "0123456789abcdef0123456789abcdef"
	var (
		log      *bytes.Buffer
		logger   logr.Logger
		ready    error
		registry metrics.Registry
		server   *observe.Server
	)

	BeforeEach(func() {
		ready = nil
		log = &bytes.Buffer{}
		var err error
		logger, err = observe.NewLogger(observe.LoggerConfig{
			Level:  settings.LevelInfo,
			Format: settings.FormatJSON,
			Output: log,
			VM:     "vm-1",
		})
		Expect(err).NotTo(HaveOccurred())
		dumps := observe.NewDumps(observe.DumpsConfig{
			Timer: timer.NewManual(timer.ManualConfig{}),
			VM:    "vm-1",
		})
		dumps.Register("settings", observe.DumpFunc(func() any {
			loaded := settings.Loaded{
				Settings:    &settings.Settings{VM: "vm-1"},
				SessionKeys: []settings.Secret{settings.Secret(secret)},
				// A TLS configuration contains functions, which cannot be encoded. The
				// dump would fail if it contained the configuration.
				PeerServerTLS: &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return nil, nil }},
			}
			return []any{loaded, loaded.SessionKeys}
		}))
		registry = metrics.NewRegistry()
		metrics.GetOrRegisterCounter("caller.requests", registry).Inc(3)
		server, err = observe.New(observe.Config{
			Logger:   logger,
			Registry: registry,
			Dumps:    dumps,
			Ready:    func() error { return ready },
		})
		Expect(err).NotTo(HaveOccurred())
	})

	get := func(path string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		server.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder
	}

	// expectNoSecret checks that secrets of the settings are redacted in a dump or log.
	// It guards against a secret that reaches a dump or log, in plain text or in
	// base64.
	expectNoSecret := func(text string) {
		GinkgoHelper()
		Expect(text).To(ContainSubstring("vm-1"))
		Expect(text).To(ContainSubstring("redacted"))
		Expect(text).NotTo(ContainSubstring(secret))
		Expect(text).NotTo(ContainSubstring("MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY"))
	}

	It("serves a dump without secrets", func() {
		response := get("/dump")
		expectNoSecret(response.Body.String())
		var dump observe.Dump
		Expect(json.Unmarshal(response.Body.Bytes(), &dump)).To(Succeed())
		Expect(dump.Parts).To(HaveKey("settings"))
	})

	It("logs a dump and settings without secrets", func() {
		server.LogDump()
		expectNoSecret(log.String())
		log.Reset()
		logger.WithName("caller").Info("Key.", "key", settings.Secret(secret))
		expectNoSecret(log.String())
		Expect(log.String()).To(ContainSubstring(`"part":"caller"`))
	})

	It("omits debug lines at the level info", func() {
		logger.V(1).Info("Detail.")
		Expect(log.String()).To(BeEmpty())
	})

	It("serves metrics as JSON", func() {
		Expect(get("/metrics.json").Body.String()).To(MatchJSON(`{"caller.requests":{"count":3}}`))
	})

	// If the label were part of the metric's name, two labels that differ only in
	// characters that names must not contain would be the same metric, and Prometheus
	// would get no metrics at all.
	It("serves metrics to Prometheus with the part after the slash as a label", func() {
		for _, workspace := range []string{"east-1", "east_1"} {
			metrics.GetOrRegisterCounter("caller.workspaceRefusals/"+workspace, registry).Inc(2)
		}
		metrics.GetOrRegisterTimer("endpoint.queueWait", registry).Update(2 * time.Second)
		response := get("/metrics")
		Expect(response.Code).To(Equal(http.StatusOK))
		for _, line := range []string{
			"amaranthdock_caller_requests 3\n",
			"amaranthdock_caller_workspaceRefusals{name=\"east-1\"} 2\n",
			"amaranthdock_caller_workspaceRefusals{name=\"east_1\"} 2\n",
			"amaranthdock_endpoint_queueWait{quantile=\"0.5\"} 2\n",
			"amaranthdock_endpoint_queueWait_sum 2\n",
		} {
			Expect(response.Body.String()).To(ContainSubstring(line))
		}
	})

	It("reports the reason when it is not ready", func() {
		Expect(get("/ready").Code).To(Equal(http.StatusOK))
		ready = errors.New("leaving")
		Expect(get("/ready").Code).To(Equal(http.StatusServiceUnavailable))
		Expect(get("/ready").Body.String()).To(ContainSubstring("leaving"))
		Expect(get("/live").Code).To(Equal(http.StatusOK))
	})
})
