package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
)

const (
	// readHeaderTimeout bounds the time to read a request's header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 2 * time.Minute
	// maxAdminConnections bounds the open connections to the admin address.
	maxAdminConnections = 64
)

// listener is an HTTP server with its bound socket.
type listener struct {
	socket net.Listener
	server *http.Server
	tls    *tls.Config
	log    *slog.Logger
}

// listenTCP binds the address and limits the number of open connections.
func listenTCP(address string, maxConnections int) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{socket: netutil.LimitListener(socket, maxConnections)}, nil
}

func (l *listener) address() string {
	return l.socket.Addr().String()
}

func (l *listener) attach(handler http.Handler, config *tls.Config, maxHeaderBytes int, log *slog.Logger) {
	l.tls = config
	l.log = log
	l.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// serve accepts connections until shutdown or close.
func (l *listener) serve() {
	socket := l.socket
	if l.tls != nil {
		socket = tls.NewListener(socket, l.tls)
	}
	go func() {
		if err := l.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			l.log.Error("HTTP server stopped accepting connections", "error", err)
		}
	}()
}

// shutdown stops accepting connections and waits for the calls in flight.
func (l *listener) shutdown(ctx context.Context) error {
	return l.server.Shutdown(ctx)
}

// close closes the server and all its connections.
func (l *listener) close() {
	if l.server != nil {
		_ = l.server.Close()
	}
	_ = l.socket.Close()
}

func hasPortZero(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port == "0"
}
