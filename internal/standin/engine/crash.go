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

// CrashOptions make the engine crash as a process does. The zero value never
// crashes.
type CrashOptions struct {
	// TriggerText is the text in a prompt that crashes the engine at its first token.
	TriggerText string
	// RestartTime is how long the engine then refuses connections.
	RestartTime time.Duration
}

// crasher ends the engine's server and counts how often.
type crasher struct {
	mu      sync.Mutex
	server  *http.Server
	crashes int
}

// Crashes is the answer of /admin/crashes.
type Crashes struct {
	Crashes int `json:"crashes"`
}

// Serve serves the engine on l. A crash breaks every connection; the engine
// comes back at the same address after its restart time.
func (e *Engine) Serve(l net.Listener) error {
	address := l.Addr().String()
	for {
		s := &http.Server{Handler: e.Handler()}
		e.crasher.set(s)
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

func (c *crasher) set(s *http.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server = s
}

// crash ends the present server, once however many requests ask for it.
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

// poisoned says whether the run crashes the engine.
func (e *Engine) poisoned(run *Run) bool {
	return e.opts.Crash.TriggerText != "" && strings.Contains(run.Prompt, e.opts.Crash.TriggerText)
}

func (e *Engine) showCrashes(w http.ResponseWriter, _ *http.Request) {
	e.crasher.mu.Lock()
	n := e.crasher.crashes
	e.crasher.mu.Unlock()
	standin.Answer(w, Crashes{n}, nil)
}
