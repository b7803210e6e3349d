// Package link is a stand-in of a network path: it forwards TCP connections and
// can drop them or go silent, for those open now or for all.
package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/standin"
)

// Mode says what happens to connections.
type Mode string

// The modes.
const (
	// Pass forwards.
	Pass Mode = "pass"
	// Drop closes open connections and refuses new ones.
	Drop Mode = "drop"
	// Silence swallows the bytes of open and new connections.
	Silence Mode = "silence"
	// SilenceOpen swallows the bytes of the connections open now; new ones
	// work.
	SilenceOpen Mode = "silence-open"
)

// ModeRequest is the body of an order.
type ModeRequest struct {
	Mode Mode `json:"mode"`
}

// pair is one forwarded connection.
type pair struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
	// halfClosed says that one end closed while the pair was silent, which the
	// other end doesn't learn.
	halfClosed bool
}

// Link forwards connections to an address.
type Link struct {
	to string

	mu    sync.Mutex
	mode  Mode
	pairs map[*pair]struct{}
}

// New returns a link to an address.
func New(to string) *Link {
	return &Link{to: to, mode: Pass, pairs: map[*pair]struct{}{}}
}

// Handler takes orders at POST /admin/mode.
func (l *Link) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/mode", func(w http.ResponseWriter, r *http.Request) {
		var o ModeRequest
		err := standin.Decode(r, &o)
		if err == nil {
			err = l.SetMode(o.Mode)
		}
		standin.Answer(w, o, err)
	})
	return mux
}

// SetMode changes the mode.
func (l *Link) SetMode(m Mode) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch m {
	case Pass, Drop, Silence, SilenceOpen:
	default:
		return fault.New(fault.Invalid, "use pass, drop, silence or silence-open", "mode %q", m)
	}
	l.mode = m
	for p := range l.pairs {
		if m == Drop {
			p.close()
		}
		p.setSilent(m == Silence || m == SilenceOpen)
	}
	return nil
}

// Serve forwards connections until ctx is done.
func (l *Link) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go l.forward(c)
	}
}

func (l *Link) forward(client net.Conn) {
	defer client.Close()
	l.mu.Lock()
	mode := l.mode
	l.mu.Unlock()
	if mode == Drop {
		return
	}
	server, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer server.Close()
	p := &pair{client: client, server: server, silent: mode == Silence}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pairs, p)
		l.mu.Unlock()
	}()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client) })
	wg.Go(func() { p.copy(client, server) })
	wg.Wait()
}

// setSilent changes the pair; one whose end was hidden is closed when it is no
// longer silent.
func (p *pair) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	if !silent && p.halfClosed {
		p.close()
	}
}

// hideEnd says whether an end that closed is hidden from the other one.
func (p *pair) hideEnd() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.halfClosed = p.halfClosed || p.silent
	return p.silent
}

func (p *pair) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *pair) close() {
	p.client.Close()
	p.server.Close()
}

// copy forwards one direction until an end closes. A pair that was ever silent
// has lost bytes, so it is closed instead of resumed.
func (p *pair) copy(dst io.Writer, src io.Reader) {
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := src.Read(buf)
		if err != nil && p.hideEnd() {
			return
		}
		if err == nil && p.isSilent() {
			lost = true
			continue
		}
		if err != nil || lost {
			break
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			break
		}
	}
	p.close()
}
