// Package link is a stand-in of a network path. It forwards TCP connections
// and, on request, closes them, silently discards their bytes or holds them back.
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

// Mode determines what happens to connections.
type Mode string

// The modes.
const (
	// Pass forwards bytes.
	Pass Mode = "pass"
	// Drop closes open connections, and closes new ones as soon as they are
	// accepted.
	Drop Mode = "drop"
	// Silence discards the bytes of open and new connections.
	Silence Mode = "silence"
	// SilenceOpen discards the bytes of the connections that are open now and
	// forwards new ones.
	SilenceOpen Mode = "silence-open"
	// Hold accepts connections and bytes and delivers them, in order and with the
	// closes, once the mode changes.
	Hold Mode = "hold"
)

// ModeRequest is the body of POST /admin/mode.
type ModeRequest struct {
	Mode Mode `json:"mode"`
}

// connPair is a forwarded connection: the accepted connection and the one
// dialled to the target.
type connPair struct {
	link           *Link
	client, server net.Conn
	mu             sync.Mutex
	// silent is true while the bytes of both directions are discarded.
	silent bool
	// closeHidden is true if one side closed its connection while the pair was
	// silent, so that the connection to the other side was left open.
	closeHidden bool
}

// Link forwards connections to a target address.
type Link struct {
	target string

	mu    sync.Mutex
	mode  Mode
	pairs map[*connPair]struct{}
	// released is closed unless the mode is Hold.
	released chan struct{}
}

// New returns a link to target in mode Pass.
func New(target string) *Link {
	l := &Link{target: target, mode: Pass, pairs: map[*connPair]struct{}{}, released: make(chan struct{})}
	close(l.released)
	return l
}

// Handler returns a handler that sets the mode at POST /admin/mode.
func (l *Link) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/mode", func(w http.ResponseWriter, r *http.Request) {
		var request ModeRequest
		err := standin.Decode(r, &request)
		if err == nil {
			err = l.SetMode(request.Mode)
		}
		standin.Answer(w, request, err)
	})
	return mux
}

// SetMode applies m to open and new connections.
func (l *Link) SetMode(m Mode) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch m {
	case Pass, Drop, Silence, SilenceOpen, Hold:
	default:
		return fault.New(fault.Invalid, "use pass, drop, silence, silence-open or hold", "mode %q", m)
	}
	switch {
	case m == Hold && l.mode != Hold:
		l.released = make(chan struct{})
	case m != Hold && l.mode == Hold:
		close(l.released)
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

// Serve forwards the connections that ln accepts until ctx is done.
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

// forward dials the target and copies both directions until both have ended. In
// mode Drop it closes client instead.
func (l *Link) forward(client net.Conn) {
	defer client.Close()
	l.awaitRelease()
	l.mu.Lock()
	mode := l.mode
	l.mu.Unlock()
	if mode == Drop {
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer server.Close()
	p := &connPair{link: l, client: client, server: server, silent: mode == Silence}
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

// awaitRelease returns once the mode is not Hold.
func (l *Link) awaitRelease() {
	l.mu.Lock()
	released := l.released
	l.mu.Unlock()
	<-released
}

// setSilent starts or stops discarding bytes. When it stops, a pair of which
// one side has closed is closed, so that the other side learns of it.
func (p *connPair) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	if !silent && p.closeHidden {
		p.close()
	}
}

// hideClose is called when one side has closed. It reports whether the pair is
// silent; if so, the close must be hidden from the other side until the pair stops
// being silent, and closeHidden is set.
func (p *connPair) hideClose() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeHidden = p.closeHidden || p.silent
	return p.silent
}

func (p *connPair) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *connPair) close() {
	p.client.Close()
	p.server.Close()
}

// copy forwards one direction until a connection closes. After it has discarded
// bytes it closes the pair instead of forwarding more: the stream would have a
// gap.
func (p *connPair) copy(dst io.Writer, src io.Reader) {
	buf := make([]byte, 32<<10)
	droppedBytes := false
	for {
		n, err := src.Read(buf)
		p.link.awaitRelease()
		if err != nil && p.hideClose() {
			return
		}
		if err == nil && p.isSilent() {
			droppedBytes = true
			continue
		}
		if err != nil || droppedBytes {
			break
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			break
		}
	}
	p.close()
}
