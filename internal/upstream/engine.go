package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
)

// Headers between barleylift and engines.
const (
	// HeaderRequestID carries the attempt identifier; engines echo it.
	HeaderRequestID = "X-Request-Id"
	// HeaderFencingToken carries the owner's fencing token.
	HeaderFencingToken = "Barleylift-Fencing-Token"
	// HeaderLastEventID asks an engine to resume a stream after an event.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderBootID names the engine process that answered, where engines send it.
	HeaderBootID = "X-Boot-Id"
)

// Defaults of an EngineClientConfig.
const (
	defaultIdleTimeout  = time.Second
	defaultProbeTimeout = time.Second
	defaultOrderTimeout = 60 * time.Second
	defaultDialTimeout  = 2 * time.Second
	defaultMaxEvent     = 1 << 20
	defaultMaxAnswer    = 16 << 20
	defaultMaxResumes   = 5
)

// EngineClientConfig configures an EngineClient.
type EngineClientConfig struct {
	Engine catalog.Engine
	// Client carries calls and orders; nil creates one with its own connections.
	Client *http.Client
	// Probe carries look-ups and cancels, each on a new connection; nil creates one.
	Probe *http.Client
	// IdleTimeout is the silence after which a call is looked up at the engine.
	IdleTimeout time.Duration
	// ProbeTimeout bounds a look-up, a cancel and the reading of a report.
	ProbeTimeout time.Duration
	// OrderTimeout bounds a load or an unload.
	OrderTimeout time.Duration
	// MaxEventBytes bounds one event of a stream in bytes.
	MaxEventBytes int
	// MaxResponseBytes bounds an answer that is not streamed in bytes.
	MaxResponseBytes int64
	// MaxResumes bounds how often one stream is resumed.
	MaxResumes int
	// OnResponseDropped is told of each answer that was dropped, with the reason; may be nil.
	OnResponseDropped func(reason string)
}

// EngineClient talks to one model engine. It is safe for concurrent use.
type EngineClient struct {
	config EngineClientConfig
	base   string
}

// NewEngineClient returns a client, or an error that names the wrong field.
func NewEngineClient(config EngineClientConfig) (*EngineClient, error) {
	base, err := url.Parse(config.Engine.Address)
	if err != nil {
		return nil, errors.Join(errors.New("Engine.Address"), err)
	}
	if base.Scheme == "" || base.Host == "" {
		return nil, errors.New("Engine.Address: want a base URL such as http://10.0.0.4:8000")
	}
	config.setDefaults()
	return &EngineClient{config: config, base: base.Scheme + "://" + base.Host + base.EscapedPath()}, nil
}

func (c *EngineClientConfig) setDefaults() {
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.ProbeTimeout, defaultProbeTimeout)
	setDefault(&c.OrderTimeout, defaultOrderTimeout)
	setDefault(&c.MaxEventBytes, defaultMaxEvent)
	setDefault(&c.MaxResponseBytes, defaultMaxAnswer)
	setDefault(&c.MaxResumes, defaultMaxResumes)
	if c.Client == nil {
		c.Client = &http.Client{Transport: newTransport(c.Engine.MaxRunning)}
	}
	if c.Probe == nil {
		probe := newTransport(0)
		probe.DisableKeepAlives = true
		c.Probe = &http.Client{Transport: probe}
	}
	if c.OnResponseDropped == nil {
		c.OnResponseDropped = func(string) {}
	}
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// newTransport returns a transport that keeps as many idle connections as the
// engine runs calls at once.
func newTransport(idle int) *http.Transport {
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: max(idle, 1),
		IdleConnTimeout:     time.Minute,
	}
}

// Close closes the idle connections.
func (c *EngineClient) Close() {
	c.config.Client.CloseIdleConnections()
	c.config.Probe.CloseIdleConnections()
}

// oneShot hides the type of a body from net/http, which would otherwise be
// able to rewind it and to send a call twice by itself.
type oneShot struct {
	io.Reader
}

// EngineCall is one model call as it is sent to an engine.
type EngineCall struct {
	Request call.ModelRequest
	// Priority is passed to engines that honour it; lower values run first.
	Priority int
	// Token is the sender's fencing token; 0 sends none.
	Token int64
}

// ExecutionState is what is known about a call at the engine after its result.
type ExecutionState int

// The fates of a call.
const (
	// ExecutionNotStarted means that the engine surely did not execute the call.
	ExecutionNotStarted ExecutionState = iota
	// ExecutionEnded means that the engine has confirmed that the call does not run any more.
	ExecutionEnded
	// ExecutionUncertain means that the call may still run or even start to run.
	ExecutionUncertain
)

// EngineResult tells how a call ended and what is known of it at the engine.
type EngineResult struct {
	call.Result
	Execution ExecutionState
	// WrongModel tells that a part named another model than the call.
	WrongModel bool
	// Fenced tells that the engine has seen a newer fencing token.
	Fenced bool
	// NotResident tells that the engine does not have the adapter.
	NotResident bool
}

func setToken(header http.Header, token int64) {
	if token != 0 {
		header.Set(HeaderFencingToken, strconv.FormatInt(token, 10))
	}
}
