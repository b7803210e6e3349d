package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcupreel/kingcupreel/internal/daemon"
)

const (
	// conditionTimeout bounds the wait for a condition.
	conditionTimeout      = 45 * time.Second
	conditionPollInterval = 25 * time.Millisecond
)

// processesKey is the key of a script's processes in its testscript
// environment.
type processesKey struct{}

// process is a program that a script started.
type process struct {
	cmd *exec.Cmd
	// program and args are the command line.
	program string
	args    []string
	// exited is closed when the process has exited; err is then set.
	exited chan struct{}
	err    error
}

// processes holds the latest process that a script started under each name.
type processes struct{ byName map[string]*process }

func processesOf(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

func (p *processes) get(ts *testscript.TestScript, name string) *process {
	proc := p.byName[name]
	if proc == nil {
		ts.Fatalf("no process %q", name)
	}
	return proc
}

// sleepPollInterval sleeps between two checks of a condition.
func sleepPollInterval() { time.Sleep(conditionPollInterval) }

// cmdStart implements "start NAME program args...": it starts the program,
// waits for its ready line and sets NAME_<listener> for each of its addresses.
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME program args...")
	}
	startProcess(ts, args[0], args[1], args[2:]...)
}

func startProcess(ts *testscript.TestScript, name, program string, args ...string) daemon.Ready {
	path, err := exec.LookPath(filepath.Join(binDir(ts), program))
	ts.Check(err)
	cmd := exec.Command(path, args...)
	cmd.Dir = ts.Getenv("WORK")
	log, err := os.OpenFile(ts.MkAbs(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	ts.Check(err)
	defer log.Close()
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	proc := &process{cmd: cmd, program: program, args: args, exited: make(chan struct{})}
	processesOf(ts).byName[name] = proc
	ts.Defer(func() {
		_ = cmd.Process.Kill()
		<-proc.exited
		if data, err := os.ReadFile(log.Name()); err == nil && len(data) > 0 {
			ts.Logf("[%s]\n%s", name, data)
		}
	})
	reader := bufio.NewReader(out)
	line, readErr := reader.ReadBytes('\n')
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		proc.err = cmd.Wait()
		close(proc.exited)
	}()
	ts.Check(readErr)
	var ready daemon.Ready
	ts.Check(json.Unmarshal(line, &ready))
	for listener, address := range ready.Listen {
		ts.Setenv(name+"_"+listener, address)
	}
	return ready
}

// binDir returns the directory that holds the programs; testscript puts it
// first in PATH.
func binDir(ts *testscript.TestScript) string {
	dir, _, _ := strings.Cut(ts.Getenv("PATH"), string(os.PathListSeparator))
	return dir
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// cmdSignal implements "signal NAME KILL|TERM|STOP|CONT". STOP returns once
// every thread of the process has stopped.
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 || signals[args[1]] == 0 {
		ts.Fatalf("usage: signal NAME KILL|TERM|STOP|CONT")
	}
	proc := processesOf(ts).get(ts, args[0]).cmd.Process
	ts.Check(proc.Signal(signals[args[1]]))
	if args[1] != "STOP" {
		return
	}
	for deadline := time.Now().Add(conditionTimeout); !allThreadsStopped(proc.Pid); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			ts.Fatalf("%s has not stopped", args[0])
		}
	}
}

// allThreadsStopped reports whether all threads of a process are in the stopped
// state.
func allThreadsStopped(pid int) bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, file := range stats {
		data, err := os.ReadFile(file)
		_, state, found := bytes.Cut(data, []byte(") "))
		if err == nil && (!found || state[0] != 'T') {
			return false
		}
	}
	return true
}

// cmdExited implements "[!] exited NAME": it waits until the process exits and
// checks that the exit code is 0 or, negated, that it isn't.
func cmdExited(ts *testscript.TestScript, neg bool, args []string) {
	proc := processesOf(ts).get(ts, args[0])
	select {
	case <-proc.exited:
	case <-time.After(conditionTimeout):
		ts.Fatalf("%s has not exited", args[0])
	}
	if (proc.err != nil) != neg {
		ts.Fatalf("%s exited with %v", args[0], proc.err)
	}
}

// cmdUntil implements "until REGEXP program args...": it runs the program
// repeatedly until it succeeds and its output matches.
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until REGEXP program args...")
	}
	re := regexp.MustCompile(args[0])
	var out []byte
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(conditionPollInterval) {
		cmd := exec.Command(filepath.Join(binDir(ts), args[1]), args[2:]...)
		cmd.Dir = ts.Getenv("WORK")
		var err error
		if out, err = cmd.CombinedOutput(); err == nil && re.Match(out) {
			return
		}
	}
	ts.Fatalf("condition not met in time: %s\n%s", strings.Join(args, " "), out)
}
