package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// ServiceFault is the fault that a Service simulates for one request.
type ServiceFault int

// The faults of a Service.
const (
	// FaultNone executes the request and responds.
	FaultNone ServiceFault = iota
	// FaultCloseUnexecuted reads the request and closes the connection without
	// executing it.
	FaultCloseUnexecuted
	// FaultCloseExecuted executes the request and closes the connection without a
	// response.
	FaultCloseExecuted
	// FaultRefuse responds 503 with NotExecutedHeader and does not execute.
	FaultRefuse
	// FaultError executes the request and responds 503 without NotExecutedHeader.
	FaultError
	// FaultTruncateResponse executes the request and closes the connection in the
	// middle of the response.
	FaultTruncateResponse
)

// ServiceConfig describes a Service.
type ServiceConfig struct {
	// Name is included in each response.
	Name string
	// KeyHeader is the header whose value is recorded as Execution.Key.
	KeyHeader string
	// Delay is the time from reading a request to executing it.
	Delay time.Duration
	// Fault returns the fault of a request; nil for none.
	Fault func(*http.Request) ServiceFault
}

// Execution is one request that a Service executed.
type Execution struct {
	Method   string
	Path     string
	Key      string
	Customer string
	// BodySum is the hex SHA-256 sum of the body.
	BodySum string
	Time    time.Time
}

// Service is a stand-in for a plain service: it records each request that it
// executes, stores the bodies of PUT requests, returns them on GET, and streams
// bodies back from /echo.
type Service struct {
	config ServiceConfig

	// mu guards the fields below. It is never held during I/O.
	mu                 sync.Mutex
	executions         []Execution
	artifacts          map[string][]byte
	connections        map[string]bool
	stalledConnections map[string]bool
	requestCount       int
}

// NewService returns a service without executions.
func NewService(config ServiceConfig) *Service {
	return &Service{
		config:             config,
		artifacts:          make(map[string][]byte),
		connections:        make(map[string]bool),
		stalledConnections: make(map[string]bool),
	}
}

// Executions returns the requests executed so far, in order.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// RequestCount returns the number of requests whose header was read.
func (s *Service) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount
}

// StallConnections permanently stalls every connection that has carried a
// request. Later requests on them are not executed and get no response; new
// connections work.
func (s *Service) StallConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.connections {
		s.stalledConnections[address] = true
	}
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(s.serve)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if s.registerRequest(r.RemoteAddr) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/echo" {
		s.echo(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !s.waitDelay(r) {
		panic(http.ErrAbortHandler)
	}
	fault := FaultNone
	if s.config.Fault != nil {
		fault = s.config.Fault(r)
	}
	s.respond(w, r, body, fault)
}

func (s *Service) respond(w http.ResponseWriter, r *http.Request, body []byte, fault ServiceFault) {
	switch fault {
	case FaultCloseUnexecuted:
		panic(http.ErrAbortHandler)
	case FaultRefuse:
		w.Header().Set(call.NotExecutedHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	executionNumber := s.execute(r, body)
	switch fault {
	case FaultCloseExecuted:
		panic(http.ErrAbortHandler)
	case FaultError:
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultTruncateResponse:
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "{")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		s.writeResponse(w, r, executionNumber)
	}
}

// serviceResponse is the body of a response without an artifact.
type serviceResponse struct {
	Service   string `json:"service"`
	Execution int    `json:"execution"`
}

func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, executionNumber int) {
	if r.Method == http.MethodGet {
		if artifact, ok := s.artifact(r.URL.Path); ok {
			_, _ = w.Write(artifact)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(serviceResponse{Service: s.config.Name, Execution: executionNumber})
}

// echo streams the request body back while receiving it.
func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buffer)
		if _, werr := w.Write(buffer[:n]); werr != nil {
			return
		}
		_ = controller.Flush()
		if err != nil {
			break
		}
	}
	s.execute(r, nil)
}

// registerRequest counts a request and reports whether its connection is stalled.
func (s *Service) registerRequest(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestCount++
	s.connections[address] = true
	return s.stalledConnections[address]
}

func (s *Service) waitDelay(r *http.Request) bool {
	if s.config.Delay == 0 {
		return true
	}
	timer := time.NewTimer(s.config.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Service) execute(r *http.Request, body []byte) int {
	sum := sha256.Sum256(body)
	execution := Execution{
		Method: r.Method, Path: r.URL.Path, Key: r.Header.Get(s.config.KeyHeader),
		Customer: r.Header.Get(call.CustomerHeader), BodySum: hex.EncodeToString(sum[:]), Time: time.Now(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, execution)
	if r.Method == http.MethodPut {
		s.artifacts[r.URL.Path] = body
	}
	return len(s.executions)
}

func (s *Service) artifact(path string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.artifacts[path]
	return body, ok
}
