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
	// conditionLimit ends a wait for a condition that never comes.
	conditionLimit = 45 * time.Second
	conditionPoll  = 25 * time.Millisecond
)

type processesKey struct{}

// process is a program that a script started.
type process struct {
	cmd *exec.Cmd
	// program and args are what it was started with.
	program string
	args    []string
	done    chan struct{}
	err     error
}

type processes struct{ byName map[string]*process }

func table(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

func (p *processes) get(ts *testscript.TestScript, name string) *process {
	proc := p.byName[name]
	if proc == nil {
		ts.Fatalf("no process %q", name)
	}
	return proc
}

// pollPause waits between two looks at a condition.
func pollPause() { time.Sleep(conditionPoll) }

// cmdStart is "start NAME program args...": it waits for the program's ready
// line and sets NAME_<listener> for each of its addresses.
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
	proc := &process{cmd: cmd, program: program, args: args, done: make(chan struct{})}
	table(ts).byName[name] = proc
	ts.Defer(func() {
		_ = cmd.Process.Kill()
		<-proc.done
		if data, err := os.ReadFile(log.Name()); err == nil && len(data) > 0 {
			ts.Logf("[%s]\n%s", name, data)
		}
	})
	reader := bufio.NewReader(out)
	line, readErr := reader.ReadBytes('\n')
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		proc.err = cmd.Wait()
		close(proc.done)
	}()
	ts.Check(readErr)
	var ready daemon.Ready
	ts.Check(json.Unmarshal(line, &ready))
	for listener, address := range ready.Listen {
		ts.Setenv(name+"_"+listener, address)
	}
	return ready
}

// binDir is where testscript put the programs.
func binDir(ts *testscript.TestScript) string {
	dir, _, _ := strings.Cut(ts.Getenv("PATH"), string(os.PathListSeparator))
	return dir
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// cmdSignal is "signal NAME KILL|TERM|STOP|CONT". STOP returns once every thread
// of the process has stopped.
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 || signals[args[1]] == 0 {
		ts.Fatalf("usage: signal NAME KILL|TERM|STOP|CONT")
	}
	proc := table(ts).get(ts, args[0]).cmd.Process
	ts.Check(proc.Signal(signals[args[1]]))
	if args[1] != "STOP" {
		return
	}
	for deadline := time.Now().Add(conditionLimit); !stopped(proc.Pid); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			ts.Fatalf("%s has not stopped", args[0])
		}
	}
}

// stopped says whether all threads of a process are in the stopped state.
func stopped(pid int) bool {
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

// cmdExited is "[!] exited NAME": it waits for the end, and checks that the
// exit code was 0 (or, negated, that it wasn't).
func cmdExited(ts *testscript.TestScript, neg bool, args []string) {
	proc := table(ts).get(ts, args[0])
	select {
	case <-proc.done:
	case <-time.After(conditionLimit):
		ts.Fatalf("%s has not exited", args[0])
	}
	if (proc.err != nil) != neg {
		ts.Fatalf("%s exited with %v", args[0], proc.err)
	}
}

// cmdUntil is "until REGEXP program args...": it runs the program until it
// succeeds and its output matches.
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until REGEXP program args...")
	}
	re := regexp.MustCompile(args[0])
	var out []byte
	for deadline := time.Now().Add(conditionLimit); time.Now().Before(deadline); time.Sleep(conditionPoll) {
		cmd := exec.Command(filepath.Join(binDir(ts), args[1]), args[2:]...)
		cmd.Dir = ts.Getenv("WORK")
		var err error
		if out, err = cmd.CombinedOutput(); err == nil && re.Match(out) {
			return
		}
	}
	ts.Fatalf("condition never came: %s\n%s", strings.Join(args, " "), out)
}
