package engine

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/standin"
)

// CrashOptions configure simulated crashes of the engine process. The zero
// value disables them.
type CrashOptions struct {
	// TriggerText crashes the engine at the first token of any prompt that
	// contains it.
	TriggerText string
	// RestartTime is how long the engine refuses connections after a crash.
	RestartTime time.Duration
}

// crasher closes the engine's HTTP server to simulate a crash and counts the
// crashes.
type crasher struct {
	mu      sync.Mutex
	server  *http.Server
	crashes int
}

// Crashes is the response of /admin/crashes.
type Crashes struct {
	Crashes int `json:"crashes"`
}

// Serve serves the engine on l. A crash closes all connections; after
// RestartTime the engine listens on the same address again.
func (e *Engine) Serve(l net.Listener) error {
	address := l.Addr().String()
	for {
		s := &http.Server{Handler: e.Handler()}
		e.crasher.setServer(s)
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		time.Sleep(e.opts.Crash.RestartTime)
		var err error
		if l, err = net.Listen("tcp", address); err != nil {
			return err
		}
	}
}

func (c *crasher) setServer(s *http.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server = s
}

// crash closes the current server. Requests that trigger a crash of the same
// server count once.
func (c *crasher) crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server == nil {
		return
	}
	c.crashes++
	_ = c.server.Close()
	c.server = nil
}

// triggersCrash reports whether the prompt of run contains TriggerText.
func (e *Engine) triggersCrash(run *Run) bool {
	return e.opts.Crash.TriggerText != "" && strings.Contains(run.Prompt, e.opts.Crash.TriggerText)
}

func (e *Engine) showCrashes(w http.ResponseWriter, _ *http.Request) {
	e.crasher.mu.Lock()
	n := e.crasher.crashes
	e.crasher.mu.Unlock()
	standin.Answer(w, Crashes{n}, nil)
}
