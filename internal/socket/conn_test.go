package socket_test

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/socket"
)

// pipe returns the two ends of a connection: that of a client and that of its server.
func pipe(t *testing.T) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = (&socket.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return client, nc.(*net.TCPConn)
}

// upload is more than the buffers of a connection hold.
var upload = make([]byte, 32<<20)

// The writer of a request gets the error that ended the connection. Guards against a reader that
// takes the part that had arrived for the whole.
func TestReaderLearnsOfAResetThatTheWriterGot(t *testing.T) {
	for name, write := range map[string]func(nc net.Conn) error{
		"Write":    func(nc net.Conn) error { _, err := nc.Write(upload); return err },
		"ReadFrom": func(nc net.Conn) error { _, err := io.Copy(nc, bytes.NewReader(upload)); return err },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client, server := pipe(t)
			_, err := io.WriteString(server, "part")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(server.SetLinger(0)).To(Succeed())
			server.Close()
			g.Expect(write(client)).To(MatchError(syscall.ECONNRESET))
			got, err := io.ReadAll(client)
			g.Expect(err).To(MatchError(syscall.ECONNRESET))
			g.Expect(string(got)).To(Equal("part"))
		})
	}
}

// Guards against an end in order that is taken for a reset, since the server reset the connection
// once it had ended its direction, and against a reader that waits for the writer.
func TestEndInOrderStaysOne(t *testing.T) {
	for name, reset := range map[string]bool{"open": false, "reset later": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client, server := pipe(t)
			_, err := io.WriteString(server, "whole")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(server.CloseWrite()).To(Succeed())
			written := make(chan error, 1)
			go func() {
				_, err := client.Write(upload)
				written <- err
			}()
			if reset {
				_, err := io.ReadFull(server, make([]byte, 1<<20))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(server.SetLinger(0)).To(Succeed())
				server.Close()
				g.Eventually(written, "10s").Should(Receive(MatchError(syscall.EPIPE)))
			}
			got, err := io.ReadAll(client)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got)).To(Equal("whole"))
		})
	}
}
