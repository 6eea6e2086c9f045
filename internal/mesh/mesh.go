package mesh

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Config holds the dependencies of a Mesh.
type Config struct {
	// Listen is this daemon's address for datagrams.
	Listen netip.AddrPort
	// From and Incarnation are put into each packet.
	From        string
	Incarnation int64
	// Receive is called for each packet, from one goroutine.
	Receive func(Packet)
	// CountBytes counts the bytes sent, received and dropped; it may be nil.
	CountBytes func(direction string, n int)
	Log        *slog.Logger
}

// Mesh is a daemon's socket for datagrams. It is safe for concurrent use.
type Mesh struct {
	config Config
	log    *slog.Logger
	conn   *net.UDPConn
	// dropped counts the datagrams that could not be read since dropLoggedAt.
	dropped      int
	dropLoggedAt time.Time
}

// Open binds the socket.
func Open(config Config) (*Mesh, error) {
	if config.Receive == nil || config.Log == nil || config.From == "" {
		return nil, errors.New("mesh: Receive, Log and From are required")
	}
	if config.CountBytes == nil {
		config.CountBytes = func(string, int) {}
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, err
	}
	return &Mesh{config: config, log: config.Log.With("part", "mesh"), conn: conn}, nil
}

// Run receives packets until Close.
func (m *Mesh) Run() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := m.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP port-unreachable reply to an earlier send is reported here.
			continue
		}
		m.config.CountBytes("in", n)
		var packet Packet
		if err := cbor.Unmarshal(buffer[:n], &packet); err != nil || packet.From == "" {
			m.recordDrop(n, err)
			continue
		}
		m.config.Receive(packet)
	}
}

// dropLogInterval is the least time between two lines on dropped datagrams.
const dropLogInterval = 10 * time.Second

// recordDrop counts and logs a datagram that can't be read: another program sends to the
// port, or a daemon of another version. Only Run's goroutine calls it.
func (m *Mesh) recordDrop(size int, err error) {
	m.config.CountBytes("dropped", size)
	m.dropped++
	if now := time.Now(); m.dropLoggedAt.IsZero() || now.Sub(m.dropLoggedAt) >= dropLogInterval {
		m.log.Warn("datagrams can't be read, dropped", "count", m.dropped, "error", err)
		m.dropped, m.dropLoggedAt = 0, now
	}
}

// Send sends a packet to another daemon's mesh address. It does not report
// whether the packet arrives.
func (m *Mesh) Send(to string, packet Packet) {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		m.log.Warn("packet not sent, the member's mesh address is invalid", "address", to, "error", err)
		return
	}
	packet.From = m.config.From
	packet.Incarnation = m.config.Incarnation
	datagrams, err := encode(packet)
	if err != nil {
		m.log.Error("packet not sent, encoding failed", "error", err)
		return
	}
	for _, datagram := range datagrams {
		m.config.CountBytes("out", len(datagram))
		if _, err := m.conn.WriteToUDPAddrPort(datagram, address); err != nil {
			m.log.Debug("datagram not sent", "to", to, "error", err)
		}
	}
}

// Close closes the socket and ends Run.
func (m *Mesh) Close() error {
	return m.conn.Close()
}
