package caller

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
)

const plainRead = `{"database":"d","access":"ACCESS_READ","statement":{"command":"verify"}`

func gzipped(text string) string {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = writer.Write([]byte(text))
	_ = writer.Close()
	return packed.String()
}

// The table guards against invalid input that gets an error without a Refusal detail or
// with a wrong code, or that is partly run.
var _ = DescribeTable("JSON over HTTP refuses bad input",
	func(body, header, value string, status int, code, field, message string) {
		f := newFixture()
		request, err := http.NewRequest(http.MethodPost, f.url+"/amaranthdock.caller.v1.CallerService/Execute", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Authorization", "Bearer "+goodKey)
		if header != "" {
			request.Header.Set(header, value)
		}
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(status), string(text))
		var failed struct {
			Code    string
			Message string
			Details []struct{ Value string }
		}
		Expect(json.Unmarshal(text, &failed)).To(Succeed(), string(text))
		Expect(failed.Code).To(Equal(code))
		Expect(failed.Message).To(ContainSubstring(message))
		Expect(failed.Details).To(HaveLen(1))
		plain, err := base64.RawStdEncoding.DecodeString(failed.Details[0].Value)
		Expect(err).NotTo(HaveOccurred())
		var refused callerv1.Refusal
		Expect(proto.Unmarshal(plain, &refused)).To(Succeed())
		Expect(refused.GetOutcome()).To(Equal(notRun))
		Expect(refused.GetField()).To(Equal(field))
		Expect(f.forwarded).To(BeEmpty())
		Expect(f.logged.String() + string(text)).NotTo(ContainSubstring("secret"))
	},
	Entry("malformed JSON", `{"database":`, "", "", 400, "invalid_argument", "", "unexpected EOF"),
	Entry("wrong type", `{"database":5}`, "", "", 400, "invalid_argument", "", "field database"),
	Entry("no statement", `{"database":"d","access":"ACCESS_READ"}`, "", "", 400, "invalid_argument", "statement", "missing"),
	Entry("negative age", plainRead+`,"maxAge":"-1s"}`, "", "", 400, "invalid_argument", "maxAge", "negative"),
	Entry("age that is not a duration", plainRead+`,"maxAge":"soon"}`, "", "", 400, "invalid_argument", "", "Duration"),
	Entry("unknown route with a key", plainRead+`,"route":"x"}`, "", "", 400, "invalid_argument", "route", "must not name a route"),
	Entry("too large", strings.Repeat(" ", DefaultMaxRequestBytes+envelopeBytes+1), "", "", 400, "invalid_argument", "", "larger than the limit"),
	Entry("too large once decompressed", gzipped(strings.Repeat(" ", 4*DefaultMaxRequestBytes)), "Content-Encoding", "gzip", 400, "invalid_argument", "", "larger than the limit"),
	Entry("not gzip", "abc", "Content-Encoding", "gzip", 400, "invalid_argument", "Content-Encoding", "not valid gzip"),
	Entry("truncated gzip", gzipped(plainRead + "}")[:20], "Content-Encoding", "gzip", 400, "invalid_argument", "Content-Encoding", "not valid gzip"),
	Entry("timeout that is not a number", plainRead+"}", "Connect-Timeout-Ms", "x", 400, "invalid_argument", "Connect-Timeout-Ms", "parse timeout"),
	Entry("no time left", plainRead+"}", "Connect-Timeout-Ms", "0", 504, "deadline_exceeded", "", "deadline"),
	Entry("malformed key", plainRead+"}", "Authorization", "Bearer secret", 401, "unauthenticated", "Authorization", "malformed"),
	Entry("key that is not a bearer token", plainRead+"}", "Authorization", "Basic secret", 401, "unauthenticated", "Authorization", "bearer"),
	Entry("unknown key", plainRead+"}", "Authorization", "Bearer ad_x_secret", 401, "unauthenticated", "Authorization", "not known"),
)
