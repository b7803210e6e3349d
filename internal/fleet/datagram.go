package fleet

import (
	"context"
	"net"
	"net/netip"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// maxDatagramSize bounds a datagram, in bytes, so that it is not fragmented.
const maxDatagramSize = 1400

// Datagrams sends and receives single messages over UDP. Senders repeat their
// state periodically, so a lost datagram is replaced by the next one.
type Datagrams struct {
	conn *net.UDPConn
	log  *zap.Logger
}

// ListenDatagrams opens a UDP socket on an address, IP:port.
func ListenDatagrams(address string, log *zap.Logger) (*Datagrams, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "give the inner address as IP:port", "resolving the datagram address")
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "check the internal ports in the platform's settings file, and that no other process listens there", "listening for datagrams")
	}
	return &Datagrams{conn: conn, log: log}, nil
}

// Send sends a message. A failure to send is only logged at debug level, since
// datagrams may be lost anyway.
func (d *Datagrams) Send(address string, m wire.Message) {
	frame, err := wire.AppendFrame(nil, m)
	if err != nil || len(frame) > maxDatagramSize {
		d.log.Warn("datagram can't be encoded or is too large; not sent", zap.Int("bytes", len(frame)), zap.Error(err))
		return
	}
	to, err := netip.ParseAddrPort(address)
	if err == nil {
		_, err = d.conn.WriteToUDPAddrPort(frame, to)
	}
	if err != nil {
		d.log.Debug("datagram not sent", zap.String("to", address), zap.Error(err))
	}
}

// Run passes each message received to handle until ctx is done. handle must not
// block.
func (d *Datagrams) Run(ctx context.Context, handle func(from netip.AddrPort, m wire.Message)) {
	stop := context.AfterFunc(ctx, func() { d.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramSize+1)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				d.log.Error("datagram socket failed", zap.Error(err))
			}
			return
		}
		m, err := wire.DecodeFrame(buf[:n])
		if err != nil {
			d.log.Debug("received invalid datagram; ignoring it", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		handle(from, m)
	}
}
