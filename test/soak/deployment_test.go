package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
	"github.com/kingcupreel/kingcupreel/internal/standin/link"
	"github.com/kingcupreel/kingcupreel/platform"
)

const (
	gateways = 3
	// gracePeriod is the time between SIGTERM and SIGKILL that the settings
	// state. It covers the notice to the platform's balancer and the longest
	// request after it.
	gracePeriod = 8 * time.Second
)

// deployment is a key-value store, upstreams and gateways. Links inject faults
// between the gateways and each upstream, and between each gateway and the
// store.
type deployment struct {
	t        *testing.T
	seed     uint64
	dir      string
	kvStore  *kv.Store
	recorder *recorder
	// badStreams and badPlain are the requests with badPart and with badTarget.
	badStreams, badPlain *badRequests
	limits               *limits

	upstreams []*upstream
	ranks     []*rankVM
	// departures are the callers that leave early.
	departures *departures
	// processes are the gateways.
	processes     []*process
	configVersion int
	// services and routes return the services and the routes of the configuration.
	services, routes func() []any
	// firstHost is added to the hosts of loopback addresses, so that deployments of one
	// seed don't share any.
	firstHost    int
	storeAddress string
	// warmsUp is set if upstreams are cold after a start.
	warmsUp bool
	// evacuations is nil where the platform doesn't evacuate.
	evacuations *evacuations
}

// process is a gateway or a rank agent in an operating-system process of its own.
type process struct {
	// role is the daemon's command.
	role, name, ip string
	// store is the link to the key-value store.
	store        *link.Link
	settingsFile string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when cmd has exited; exitErr is then set.
	exited  chan struct{}
	exitErr error
	// stopping is true while the test stops the process.
	stopping bool
	// disturbances is the number of faults in progress, disturbedAt the end of the last.
	disturbances int
	disturbedAt  time.Time
	// accepted is true once the process has accepted a connection, testEnded
	// once the test has ended.
	accepted, testEnded bool
}

// serveLink serves a link to the address target at a port of ip. It returns the
// link and its address.
func (d *deployment) serveLink(ip, target string) (*link.Link, string) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		d.t.Fatal(err)
	}
	l := link.New(target)
	d.forward(l, ln)
	return l, ln.Addr().String()
}

// forward serves a link on a listener until the returned function is called.
func (d *deployment) forward(l *link.Link, ln net.Listener) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	d.t.Cleanup(cancel)
	go func() { _ = l.Serve(ctx, ln) }()
	return func() {
		cancel()
		ln.Close()
	}
}

// newDeployment returns a deployment of plain upstreams.
func newDeployment(t *testing.T, seed uint64) *deployment {
	t.Helper()
	d := newStore(t, seed)
	d.startPlain()
	return d
}

// startPlain starts a deployment of plain upstreams on the store.
func (d *deployment) startPlain() {
	d.services = func() []any { return []any{d.service()} }
	d.routes = func() []any {
		return []any{route("/safe/", "safe", false), route("/unsafe/", "unsafe", false), route("/stream/", "streaming", true)}
	}
	for i := range 3 {
		d.addUpstream(i)
	}
	d.writeConfiguration()
	d.startGateways()
}

// newStore returns a deployment that has only the store.
func newStore(t *testing.T, seed uint64) *deployment {
	d := &deployment{t: t, seed: seed, dir: t.TempDir(), kvStore: kv.NewStore(clockwork.NewRealClock()), recorder: newRecorder(), badStreams: newBadRequests("a part"), badPlain: newBadRequests("a path"), limits: newLimits(), departures: newDepartures()}
	store := httptest.NewServer(kv.NewServer(d.kvStore).Handler())
	t.Cleanup(store.CloseClientConnections)
	d.storeAddress = store.Listener.Addr().String()
	return d
}

func (d *deployment) startGateways() {
	for i := range gateways {
		d.processes = append(d.processes, d.startProcess("gateway", fmt.Sprint("edge-", i), d.loopback(1+i), ""))
	}
}

// startProcess starts a process that ends with the test. extraSettings are added to its
// settings, before the tables.
func (d *deployment) startProcess(role, name, ip, extraSettings string) *process {
	p := &process{role: role, name: name, ip: ip}
	var address string
	p.store, address = d.serveLink(p.ip, d.storeAddress)
	p.settingsFile = filepath.Join(d.dir, p.name+".toml")
	d.writeSettings(p, address, extraSettings)
	d.t.Cleanup(func() {
		p.mu.Lock()
		p.testEnded = true
		p.mu.Unlock()
		p.signal(syscall.SIGCONT)
		_ = p.stop(syscall.SIGKILL) // the error says that the signal ended it
	})
	p.start(d)
	return p
}

// loopback returns a loopback address of the seed's own. Each process and each upstream has
// one, so that ports don't clash between them and between seeds, also while an upstream that
// has crashed doesn't listen.
func (d *deployment) loopback(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+d.seed%200, 1+d.seed/200%200, d.firstHost+host)
}

func (d *deployment) writeSettings(p *process, storeAddress, extra string) {
	text := fmt.Sprintf(`node-name = %q
ip = %q
zone = %[7]q
internal-ports = [7340, 7355]
%[5]s
[listen]
frontend = "%[2]s:8227"
ready = "%[2]s:8220"
[limits]
memory-mb = 284
[bounds]
drain-ms = 2000
config-apply-ms = 2000
partition-max-ms = 5000
grace-s = %[3]d
retry-budget-ratio = 0.2
retry-window-s = 10
retry-allowance = 94
evacuate-ms = %[6]d
warmup-overage = %[8]g
warmup-allowance = %[9]d
[platform]
address = %[4]q
`, p.name, p.ip, int(gracePeriod.Seconds()), storeAddress, extra, d.evacuations.boundMS(), d.evacuations.zone(len(d.processes)), warmupOverage, warmupAllowance)
	if err := os.WriteFile(p.settingsFile, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) putRecord(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := d.kvStore.Put(kvstore.Put{Key: key, Value: data, Expect: kvstore.AnyRevision}); err != nil {
		d.t.Fatal(err)
	}
}

// writeConfiguration writes the next configuration. Each one has one more
// route, which no caller uses.
func (d *deployment) writeConfiguration() {
	d.configVersion++
	d.putConfiguration()
}

// route returns a route of the configuration to the service "s".
func route(prefix, kind string, resumable bool) map[string]any {
	return map[string]any{
		"name": prefix, "host": "h", "path-prefix": prefix, "kind": kind, "resumable": resumable,
		"timeout-ms": 3000, "service": "s", "max-attempts": 2,
	}
}

// service returns the service "s" of the configuration.
func (d *deployment) service() map[string]any {
	s := map[string]any{"name": "s"}
	if d.warmsUp {
		s["warmup-s"], s["warmup-per-s"] = warmup.Seconds(), warmupRate
	}
	return s
}

// putConfiguration writes the present configuration.
func (d *deployment) putConfiguration() {
	routes := d.routes()
	for i := range d.configVersion {
		routes = append(routes, route(fmt.Sprintf("/extra-%d/", i), "safe", false))
	}
	d.putRecord("op/config", map[string]any{
		"version": d.configVersion, "routes": routes, "services": d.services(),
		"tenants": []any{map[string]any{"name": account, "api-keys": []string{apiKey}}},
	})
}

// restartDelay is the time until a process that has exited is started again, as
// the platform does.
const restartDelay = 100 * time.Millisecond

// start starts the process unless it runs or the test has ended. Its log goes
// to a file beside its settings.
func (p *process) start(d *deployment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.testEnded || p.running() {
		return
	}
	log, err := os.OpenFile(p.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	defer log.Close()
	cmd := exec.Command(os.Args[0], p.role)
	cmd.Env = append(os.Environ(), roleVariable+"=1", platform.SettingsVariable+"="+p.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the test
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	p.cmd, p.exited, p.stopping, p.accepted = cmd, make(chan struct{}), false, false
	go p.restartAfterExit(d, cmd, p.exited)
}

// running reports whether the process runs. The caller holds mu.
func (p *process) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// restartAfterExit waits until the process exits and starts it again unless the
// test stopped it. It records a violation if the process exits by itself after
// it has accepted a connection.
func (p *process) restartAfterExit(d *deployment, cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.exitErr = err
	stopping, accepted := p.stopping, p.accepted
	p.mu.Unlock()
	close(exited)
	if stopping {
		return
	}
	if accepted {
		d.recorder.recordViolation("%s exited by itself: %v", p.name, err)
	}
	time.Sleep(restartDelay)
	p.start(d)
}

// signal sends a signal to the process by its id.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig) // an error means that the process has exited
}

// acceptsConnections reports whether the process accepts connections. From then
// on it handles signals.
func (p *process) acceptsConnections() bool {
	c, err := net.DialTimeout("tcp", p.ip+":8220", time.Second)
	if err != nil {
		return false
	}
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted = true
	return true
}

// stop sends a signal, waits until the process has exited and returns its exit
// error. It kills the process after gracePeriod.
func (p *process) stop(sig syscall.Signal) error {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.stopping = true
	p.mu.Unlock()
	p.signal(sig)
	kill := time.AfterFunc(gracePeriod, func() { _ = cmd.Process.Kill() })
	defer kill.Stop()
	<-exited
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// ready reports whether the process is ready for callers.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.ip + ":8220/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
