package truncate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// server serves scripted answers on raw connections.
type server struct {
	listener net.Listener
	framing  framing
	reset    bool

	mu sync.Mutex
	// before holds the answers still to be served whole, last the part of the last one.
	before []string
	last   string
	// lastServed is set once last was served.
	lastServed bool
}

func newServer(f framing, reset bool) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{listener: l, framing: f, reset: reset}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.handle(conn)
		}
	}()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) close() { s.listener.Close() }

// serve replaces the script.
func (s *server) serve(before []string, last string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before, s.last, s.lastServed = before, last, false
}

// served reports whether the last answer of the script was served.
func (s *server) served() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastServed
}

// next returns the next answer of the script. The last one is repeated if a client asks
// again.
func (s *server) next() (answer string, isLast bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.before) > 0 {
		answer, s.before = s.before[0], s.before[1:]
		return answer, false
	}
	s.lastServed = true
	return s.last, true
}

// handle answers the requests of a connection and ends it with the last answer.
func (s *server) handle(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer, isLast := s.next()
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if isLast {
			if tcp, ok := conn.(*net.TCPConn); ok && s.reset {
				_ = tcp.SetLinger(0) // makes Close reset the connection
			}
			return
		}
		if s.framing == byConnection {
			return
		}
	}
}
