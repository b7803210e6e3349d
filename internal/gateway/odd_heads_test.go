package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/standin/raw"
)

// expectNoAnswer checks that callers get nothing of an answer on any route, but an error of the
// gateway, and that such an answer to a liveness call proves nothing. answer returns the answer for
// the head of a whole one.
func expectNoAnswer(t *testing.T, answer func(head string) string) {
	t.Helper()
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/once/x"} {
		for _, end := range []raw.End{raw.Keep, raw.Close} {
			g := NewWithT(t)
			f := newRawFixture(t, 1, func(r *http.Request) raw.Answer {
				if r.URL.Path == livenessPath {
					return answerLivenessCall()
				}
				return raw.Answer{Text: answer(rawHead(r)), ReadFirst: true, End: end}
			})
			status, h, body, err := f.send(f.request(http.MethodPost, path, "order"))
			what := fmt.Sprintf("%s, %d: %s", path, end, body)
			g.Expect(err).NotTo(HaveOccurred(), what)
			g.Expect(status).To(Equal(http.StatusBadGateway), what)
			g.Expect(h.Get("Server-Stamp")).To(BeEmpty(), what)
			g.Expect(f.arrived()).To(HaveLen(1), what)
		}
	}
	g := NewWithT(t)
	f := newRawFixture(t, 1, func(r *http.Request) raw.Answer {
		if r.URL.Path == livenessPath {
			return raw.Answer{Text: answer(rawHead(r)), End: raw.Close}
		}
		return raw.Answer{Text: rawHead(r) + "\r\nwhole", ReadFirst: true, End: raw.Close}
	})
	status, _, body, err := f.send(f.request(http.MethodPost, "/unsafe/x", "order"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusBadGateway), "liveness call: %s", body)
	g.Expect(f.arrived()).To(HaveLen(2))
}

// An upstream's status is none that HTTP has. Guards against such an answer being delivered, and
// against its body being read as the next head, since a status below 200 isn't final.
func TestStatusOutsideOfItsRangeIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "20", "2000", "+20", "-01", "600", "999", "2x0", "101"} {
		for name, body := range map[string]func(head string) string{
			"a body":                           func(string) string { return "whole" },
			"a body that looks like an answer": func(head string) string { return head + "Content-Length: 5\r\n\r\nwhole" },
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				expectNoAnswer(t, func(head string) string {
					odd := strings.Replace(head, "200 OK", status+" Odd", 1)
					return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", odd, len(body(head)), body(head))
				})
			})
		}
	}
}

// A line in the head of an answer isn't a field. Guards against such an answer being delivered
// without that line, or with a body that isn't the upstream's where the line states the framing.
func TestHeadWithAnOddFieldIsNoAnswer(t *testing.T) {
	const chunks = "5\r\nwhole\r\n0\r\n\r\n"
	for line, body := range map[string]string{
		"X Odd: 1":                     "whole",
		"X-Odd : 1":                    "whole",
		"X-Odd  \t: 1":                 "whole",
		"X\tOdd: 1":                    "whole",
		"X-Odd\t: 1":                   "whole",
		"X\x00Odd: 1":                  "whole",
		"X\x0bOdd: 1":                  "whole",
		"X\x7fOdd: 1":                  "whole",
		"X\x80Odd: 1":                  "whole",
		"X\rOdd: 1":                    "whole",
		"X(Odd): 1":                    "whole",
		": 1":                          "whole",
		" : 1":                         "whole",
		"X-Odd":                        "whole",
		"X-Odd: \x01":                  "whole",
		"Content-Length : 3":           "whole",
		"Content Length: 3":            "whole",
		"Transfer-Encoding : chunked":  chunks,
		"Transfer-Encoding\t: chunked": chunks,
		"Transfer Encoding: chunked":   chunks,
	} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			expectNoAnswer(t, func(head string) string {
				if body == "whole" && !strings.HasPrefix(line, "Content") {
					head += "Content-Length: 5\r\n"
				}
				return strings.Replace(head, "\r\n", "\r\n"+line+"\r\n", 1) + "\r\n" + body
			})
		})
	}
}

// An answer of HTTP/1.0, which has no transfer codings, names one. Guards against chunks that are
// delivered as the body, also behind a head that exceeds the read buffer.
func TestTransferCodingOfHTTP10IsNoAnswer(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	for name, c := range map[string]struct{ version, rest string }{
		"short":                         {"HTTP/1.0", chunked},
		"long line":                     {"HTTP/1.0", "X-Long: " + strings.Repeat("x", 5000) + "\r\n" + chunked},
		"long head":                     {"HTTP/1.0", strings.Repeat("X-Long: "+strings.Repeat("x", 500)+"\r\n", 100) + chunked},
		"continued line":                {"HTTP/1.0", "X-Long: a\r\n b\r\n" + chunked},
		"line feeds":                    {"HTTP/1.0", strings.ReplaceAll(chunked, "\r\n", "\n")},
		"after an informational answer": {"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.0", chunked},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectNoAnswer(t, func(head string) string { return strings.Replace(head, "HTTP/1.1", c.version, 1) + c.rest })
		})
	}
}

// Guards against an answer of a version that isn't spoken.
func TestOddVersionIsNoAnswer(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.1"} {
		for name, rest := range map[string]string{
			"length": "Content-Length: 5\r\n\r\nwhole",
			"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		} {
			t.Run(version+" "+name, func(t *testing.T) {
				t.Parallel()
				expectNoAnswer(t, func(head string) string { return strings.Replace(head, "HTTP/1.1", version, 1) + rest })
			})
		}
	}
}
