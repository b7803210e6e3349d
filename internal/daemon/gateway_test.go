package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
	"github.com/kingcupreel/kingcupreel/platform"
)

// output collects a process's log lines. It is safe for concurrent use.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// freePorts returns n free ports of the loopback address.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	var list []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		list = append(list, l.Addr().(*net.TCPAddr).Port)
	}
	return list
}

// testSite is a gateway's environment on the platform: a store, a replica and a
// settings file.
type testSite struct {
	t            *testing.T
	kvStore      *kv.Store
	settingsPath string
	ports        []int
	storeAddress string
	// evacuateMS is the platform's bound on evacuations, 0 if it doesn't evacuate.
	evacuateMS int
}

func newTestSite(t *testing.T) *testSite {
	t.Helper()
	s := &testSite{t: t, kvStore: kv.NewStore(clockwork.NewRealClock()), settingsPath: filepath.Join(t.TempDir(), "settings.toml")}
	srv := httptest.NewServer(kv.NewServer(s.kvStore).Handler())
	t.Cleanup(srv.CloseClientConnections)
	s.storeAddress = srv.Listener.Addr().String()
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", "stamp")
		fmt.Fprintf(w, "%s for %s", r.RequestURI, r.Header.Get("Tenant"))
	}))
	t.Cleanup(replica.Close)
	s.put("servers/i-1", map[string]any{"service": "s", "address": replica.Listener.Addr().String(), "zone": "a", "slots": 4, "state": "ready", "born": 5})
	s.writeConfiguration(1, "/a/")
	s.ports = freePorts(t, 4) // once the servers above have theirs
	s.settings(0.2)
	t.Setenv(platform.SettingsVariable, s.settingsPath)
	return s
}

func (s *testSite) put(key string, value any) {
	s.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := s.kvStore.Put(kvstore.Put{Key: key, Value: data, Expect: kvstore.AnyRevision}); err != nil {
		s.t.Fatal(err)
	}
}

// writeConfiguration writes the operator's configuration with one route for
// each prefix.
func (s *testSite) writeConfiguration(version int, prefixes ...string) {
	var routes []any
	for _, p := range prefixes {
		routes = append(routes, map[string]any{"name": p, "host": "h", "path-prefix": p, "kind": "safe", "timeout-ms": 2000, "service": "s", "max-attempts": 2})
	}
	s.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": "s"}},
		"tenants": []any{map[string]any{"name": "clinic", "api-keys": []string{"k"}}},
	})
}

// settings writes the settings file with the given retry ratio.
func (s *testSite) settings(ratio float64) {
	s.t.Helper()
	text := fmt.Sprintf(`node-name = "edge-1"
ip = "127.0.0.1"
zone = "a"
internal-ports = [%d, %d]
[listen]
frontend = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
memory-mb = 284
[bounds]
drain-ms = 2000
config-apply-ms = 2000
grace-s = 4
retry-budget-ratio = %g
retry-window-s = 10
retry-allowance = 94
evacuate-ms = %d
[platform]
address = "%s"
`, s.ports[0], s.ports[0], s.ports[1], s.ports[2], ratio, s.evacuateMS, s.storeAddress)
	if err := os.WriteFile(s.settingsPath, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// get sends a request to the gateway's caller port and returns the status and
// the body, or the error's text.
func (s *testSite) get(path string) string {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://127.0.0.1:%d%s", s.ports[1], path), http.NoBody)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Request-Id", "r1")
	r.Header.Set("Authorization", "Bearer k")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s", resp.StatusCode, body)
}

func (s *testSite) readyStatus() int {
	resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/v1/ready", s.ports[2]))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A gateway on the platform becomes ready with the store's contents, serves,
// applies a new configuration, survives SIGHUP with valid and with faulty
// settings, and shuts down gracefully at SIGTERM.
func TestGatewayOnThePlatform(t *testing.T) {
	g := NewWithT(t)
	s := newTestSite(t)
	out := &output{}
	done := make(chan error, 1)
	go func() {
		done <- RunGateway(context.Background(), settings.Hosted{LogLevel: "info", MetricsPort: s.ports[3]}, out)
	}()
	g.Eventually(s.readyStatus, "10s").Should(Equal(http.StatusOK))
	g.Eventually(func() string { return s.get("/a/x?y=1") }, "5s").Should(Equal("200 /a/x?y=1 for clinic"))
	g.Expect(s.get("/b/x")).To(HavePrefix("404"))
	s.writeConfiguration(2, "/a/", "/b/")
	g.Eventually(func() string { return s.get("/b/x") }, "5s").Should(Equal("200 /b/x for clinic"))

	s.settings(0.4)
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	g.Eventually(out.String, "5s").Should(And(ContainSubstring("settings reloaded"), ContainSubstring(`"changed":true`)))
	g.Expect(os.WriteFile(s.settingsPath, []byte("node-name = "), 0o600)).To(Succeed())
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	g.Eventually(out.String, "5s").Should(ContainSubstring("settings not reloaded, the old ones stay"))
	g.Expect(s.get("/a/x")).To(HavePrefix("200"))

	resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", s.ports[3]))
	g.Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(And(ContainSubstring(`kingcupreel_configuration{of="version"} 2`), ContainSubstring(`kingcupreel_requests{of="s.completed.200"}`)))

	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed())
	g.Eventually(s.readyStatus, "2s").ShouldNot(Equal(http.StatusOK))
	g.Expect(s.get("/a/x")).To(HavePrefix("200"), "connections are accepted until the balancer has noticed")
	g.Eventually(done, "10s").Should(Receive(BeNil()))
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		g.Expect(json.Valid([]byte(line))).To(BeTrue(), line)
	}
	g.Expect(out.String()).To(And(ContainSubstring("gateway started"), ContainSubstring("configuration in force"), ContainSubstring("stopping"), ContainSubstring(`"request":"r1"`)))
}

// A process with faulty settings or flags exits and prints the faults.
func TestGatewayNamesFaultySettings(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	g.Expect(os.WriteFile(path, []byte(`node-name = "x"`), 0o600)).To(Succeed())
	t.Setenv(platform.SettingsVariable, path)
	var out, errOut bytes.Buffer
	g.Expect(Main(context.Background(), []string{"gateway"}, &out, &errOut)).To(Equal(ExitFailure))
	g.Expect(errOut.String()).To(ContainSubstring("give the store's address as IP:port"))
	errOut.Reset()
	g.Expect(Main(context.Background(), []string{"rank", "--metrics-port", "x"}, &out, &errOut)).To(Equal(ExitSettings))
	g.Expect(errOut.String()).To(ContainSubstring(`--metrics-port: "x" can't be read`))
}
