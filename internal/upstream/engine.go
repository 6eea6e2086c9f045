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
	"github.com/barleylift/barleylift/internal/hop"
)

// Headers between barleylift and engines.
const (
	// HeaderRequestID carries the attempt identifier, which engines echo.
	HeaderRequestID = "X-Request-Id"
	// HeaderFencingToken carries the owner's fencing token.
	HeaderFencingToken = "Barleylift-Fencing-Token"
	// HeaderLastEventID requests that an engine resume a stream after an event.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderBootID identifies the engine process that responded; not all engines
	// send it.
	HeaderBootID = "X-Boot-Id"
)

// Defaults of an EngineClientConfig.
const (
	defaultIdleTimeout      = time.Second
	defaultProbeTimeout     = time.Second
	defaultOrderTimeout     = 60 * time.Second
	defaultDialTimeout      = 2 * time.Second
	defaultMaxEventBytes    = 1 << 20
	defaultMaxResponseBytes = 16 << 20
	defaultMaxResumes       = 5
)

// maxResponseHeaderBytes limits the head of an engine's response.
const maxResponseHeaderBytes = 64 << 10

// EngineClientConfig configures an EngineClient.
type EngineClientConfig struct {
	Engine catalog.Engine
	// Client carries calls and orders; nil creates one with its own connections.
	Client *http.Client
	// Probe carries look-ups and cancels, each on a new connection; nil creates one.
	Probe *http.Client
	// IdleTimeout is the time without received data after which a call is looked
	// up at the engine.
	IdleTimeout time.Duration
	// ProbeTimeout limits a look-up, a cancellation and the reading of a report.
	ProbeTimeout time.Duration
	// OrderTimeout limits a load or an unload.
	OrderTimeout time.Duration
	// MaxEventBytes limits one event of a stream.
	MaxEventBytes int
	// MaxResponseBytes limits a response that is not streamed.
	MaxResponseBytes int64
	// MaxResumes limits how often one stream is resumed.
	MaxResumes int
	// OnResponseDropped is called for each dropped response or part, with the
	// reason; may be nil.
	OnResponseDropped func(reason string)
}

// EngineClient is the client of one model engine. It is safe for concurrent
// use.
type EngineClient struct {
	config  EngineClientConfig
	baseURL string
}

// NewEngineClient returns a client, or an error that names the invalid field.
func NewEngineClient(config EngineClientConfig) (*EngineClient, error) {
	base, err := url.Parse(config.Engine.Address)
	if err != nil {
		return nil, errors.Join(errors.New("Engine.Address"), err)
	}
	if base.Scheme == "" || base.Host == "" {
		return nil, errors.New("Engine.Address: want a base URL such as http://10.0.0.4:8000")
	}
	config.setDefaults()
	return &EngineClient{config: config, baseURL: base.Scheme + "://" + base.Host + base.EscapedPath()}, nil
}

func (c *EngineClientConfig) setDefaults() {
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.ProbeTimeout, defaultProbeTimeout)
	setDefault(&c.OrderTimeout, defaultOrderTimeout)
	setDefault(&c.MaxEventBytes, defaultMaxEventBytes)
	setDefault(&c.MaxResponseBytes, defaultMaxResponseBytes)
	setDefault(&c.MaxResumes, defaultMaxResumes)
	if c.Client == nil {
		c.Client = &http.Client{Transport: hop.Transport{Transport: newTransport(c.Engine.MaxRunning)}}
	}
	if c.Probe == nil {
		probe := newTransport(0)
		probe.DisableKeepAlives = true
		c.Probe = &http.Client{Transport: hop.Transport{Transport: probe}}
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

// newTransport returns a transport that keeps up to maxIdle idle connections,
// but at least one; maxIdle is the number of calls that the engine runs
// concurrently.
func newTransport(maxIdle int) *http.Transport {
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    max(maxIdle, 1),
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// Close closes the idle connections.
func (c *EngineClient) Close() {
	c.config.Client.CloseIdleConnections()
	c.config.Probe.CloseIdleConnections()
}

// nonRewindableReader hides the type of a body from net/http, which could
// otherwise rewind it and resend a call on its own.
type nonRewindableReader struct {
	io.Reader
}

// EngineCall is one model call as sent to an engine.
type EngineCall struct {
	Request call.ModelRequest
	// Priority is sent to engines that honour it; lower values run first.
	Priority int
	// Token is the sender's fencing token; 0 sends none.
	Token int64
}

// ExecutionState is what is known about the execution of a call at the engine
// after its result.
type ExecutionState int

// The states of a call's execution.
const (
	// ExecutionNotStarted means that the engine certainly did not execute the
	// call.
	ExecutionNotStarted ExecutionState = iota
	// ExecutionEnded means that the engine has confirmed that the call no longer
	// runs.
	ExecutionEnded
	// ExecutionUncertain means that the call may still be running or may yet
	// start.
	ExecutionUncertain
)

// EngineResult is the result of a call and what is known of its execution at
// the engine.
type EngineResult struct {
	call.Result
	Execution ExecutionState
	// WrongModel is set if a part named another model than the call.
	WrongModel bool
	// Fenced is set if the engine has seen a newer fencing token.
	Fenced bool
	// NotResident is set if the engine does not have the adapter loaded.
	NotResident bool
}

func setToken(header http.Header, token int64) {
	if token != 0 {
		header.Set(HeaderFencingToken, strconv.FormatInt(token, 10))
	}
}
