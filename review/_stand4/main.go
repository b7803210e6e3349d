// Command stand4 plays the scripts of review/11 to review/15: it starts the project's processes
// and holds the stand-ins of clients, replicas and the platform.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the record of a case.
var (
	recordMu   sync.Mutex
	recordFile *os.File
	startedAt  = time.Now()
	troubled   = os.Getenv("TROUBLE") != "0"
)

func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(startedAt).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(recordFile, line)
}

func say(format string, args ...any) {
	record(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Processes that this run has started.
var (
	processesMu sync.Mutex
	processes   []*process
	folder      string
)

type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts one of the project's processes with the words of the deploy file, from the
// repository's root, with a settings file.
func start(name, run, settings string) *process {
	settingsPath := filepath.Join(folder, name+".toml")
	if err := os.WriteFile(settingsPath, []byte(settings), 0o600); err != nil {
		fail2("%v", err)
	}
	logFile, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail2("%v", err)
	}
	defer logFile.Close()
	words := strings.Fields(run)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KINGCUPREEL_NODE_FILE=" + settingsPath}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		fail2("starting %s: %v", name, err)
	}
	p := &process{name, cmd, make(chan struct{})}
	go func() {
		err := cmd.Wait()
		record("process %s has ended: %v", name, err)
		close(p.done)
	}()
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	record("process %s started: %s", name, run)
	return p
}

func (p *process) signal(s syscall.Signal) {
	record("%v to process %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// finish ends all processes that were started and exits.
func finish(code int) {
	processesMu.Lock()
	list := processes
	processesMu.Unlock()
	for _, p := range list {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range list {
		<-p.done
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		os.RemoveAll(folder)
	} else {
		fmt.Println("logs:", folder)
	}
	recordFile.Close()
	os.Exit(code)
}

// fail2 ends a case that couldn't run.
func fail2(format string, args ...any) {
	say("the case couldn't run: "+format, args...)
	finish(2)
}

// verdict ends a case.
func verdict(broken bool, format string, args ...any) {
	if broken {
		say("BROKEN: "+format, args...)
		finish(1)
	}
	say("held: "+format, args...)
	finish(0)
}

// network is the beginning of the loopback addresses of this run's processes: they use fixed
// ports besides free ones.
var network = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))

// freePort returns a port that is free on a loopback address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail2("%v", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// serve serves a handler on a free port of an address.
func serve(ip string, h http.Handler) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail2("%v", err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// memoryMB is the memory of most edge machines of the installation tac-dakar-grown.
const memoryMB = 184

// bounds are the terms of the installation tac-dakar-grown, with one zone.
const bounds = `
[zones]
plateau-a = "sn-ouest"
thies-b = "sn-ouest"
[limits]
cpu-share = 0.384
cores = 1
memory-mb = %d
max-fds = 4100
link-mbps = 40.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 4000
ack-ms = 6000
catch-up-s = 6
drain-ms = 3000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 3000
rollback-slack-ms = 250
partition-max-ms = 6000
revoke-strict = false
revoke-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-allowance = 214
recover-s = 15
event-deadline-ms = 200
retry-after-s = 0
stall_ms = 1500
fencing-enforced = true
[platform]
address = "%s"
form = "kv"
writes-per-s = 1200
reads-per-s = 6000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`

// gateway is one entry of the project.
type gateway struct {
	*process
	name, ip, callers, ready string
}

// smallTerms are the terms of the installation tac-dakar where they differ from bounds.
var smallTerms = strings.NewReplacer(
	"memory-mb = 184", "memory-mb = 284", "cpu-share = 0.384", "cpu-share = 0.4", "link-mbps = 40.0", "link-mbps = 1000.0", "\nmachines = 2", "\nmachines = 1",
	"stable-window-ms = 4000", "stable-window-ms = 3000", "ack-ms = 6000", "ack-ms = 4000", "catch-up-s = 6", "catch-up-s = 4", "drain-ms = 3000", "drain-ms = 2000",
	"config-apply-ms = 3000", "config-apply-ms = 2000", "partition-max-ms = 6000", "partition-max-ms = 5000", "retry-allowance = 214", "retry-allowance = 94",
	"recover-s = 15", "recover-s = 12", "event-deadline-ms = 200", "event-deadline-ms = 120", "writes-per-s = 1200", "writes-per-s = 400", "reads-per-s = 6000", "reads-per-s = 2000",
	`"health","pool",`, "",
)

// small is set for a case with the terms of tac-dakar.
var small bool

const gatewayCommand = "target/kingcupreeld gateway"

func startGateway(name, ip, storeAddress string) *gateway {
	return startGatewayIn("plateau-a", name, ip, storeAddress)
}

func startGatewayIn(zone, name, ip, storeAddress string) *gateway {
	g := &gateway{name: name, ip: ip}
	g.callers, g.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	internal := freePort(ip)
	settings := fmt.Sprintf(`node-name = "%s"
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = "%s"
zone = "%s"
region = "sn-ouest"
internal-ports = [%d,%d]
seeds = []
bootstrap = true
fault-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","health","pool","engine","stream","tenants","platform","experts"]
[listen]
frontend = "%s"
ready = "%s"
`, name, ip, zone, internal, internal, g.callers, g.ready) + fmt.Sprintf(bounds, memoryMB, storeAddress)
	if small {
		settings = smallTerms.Replace(settings)
	}
	g.process = start(name, gatewayCommand, settings)
	return g
}

func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + g.ready + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func awaitReady(list ...*gateway) {
	deadline := time.Now().Add(15 * time.Second)
	for _, g := range list {
		for !g.isReady() {
			if time.Now().After(deadline) {
				fail2("%s isn't ready", g.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
		record("%s is ready", g.name)
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand4 CASE RECORD")
		os.Exit(2)
	}
	f := map[string]func(){"silent": silentCase, "cuts": cutsCase, "pages": pagesCase, "listener": listenerCase}[os.Args[1]]
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil || f == nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", err)
		os.Exit(2)
	}
	if folder, err = os.MkdirTemp("", "stand4-"); err != nil {
		fail2("%v", err)
	}
	record("trouble: %v", troubled)
	go func() {
		time.Sleep(115 * time.Second)
		fail2("it takes longer than 115 s")
	}()
	f()
}
