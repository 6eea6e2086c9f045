// Package metrics defines the Prometheus collectors of a daemon. The sets of label
// values are bounded: customers, profiles, engines, routes and services come from
// the accepted configuration, all others from a few constants.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "barleylift"

// latencyBuckets are from 1 ms to about 65 s, in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 17)

// ratioBuckets divide the range from 0 to 1 into tenths.
var ratioBuckets = prometheus.LinearBuckets(0.1, 0.1, 10)

// estimateBuckets are the ratios of a seen to an expected value, from 1/16 to 16.
var estimateBuckets = prometheus.ExponentialBuckets(1.0/16, 2, 9)

// sizeBuckets are from 1 to 1024 items.
var sizeBuckets = prometheus.ExponentialBuckets(1, 2, 11)

// Set holds the collectors of one daemon.
type Set struct {
	loadStall        *prometheus.HistogramVec
	queueWait        *prometheus.HistogramVec
	firstToken       *prometheus.HistogramVec
	betweenToken     *prometheus.HistogramVec
	batchFill        *prometheus.HistogramVec
	outcomes         *prometheus.CounterVec
	retries          *prometheus.CounterVec
	droppedResponses *prometheus.CounterVec
	loads            *prometheus.CounterVec
	evictions        *prometheus.CounterVec
	claimBatch       prometheus.Histogram
	kvCalls          *prometheus.CounterVec
	peerBytes        *prometheus.CounterVec
	generation       prometheus.Gauge
	regressions      prometheus.Counter
}

// New creates the collectors and registers them with the registerer.
func New(registerer prometheus.Registerer) *Set {
	s := &Set{
		loadStall:        histogram("load_stall_seconds", "Time a call waited for its adapter to load.", latencyBuckets, "customer", "profile"),
		queueWait:        histogram("queue_wait_seconds", "Time a call waited at the owner before dispatch.", latencyBuckets, "customer", "profile"),
		firstToken:       histogram("first_token_seconds", "Time from the arrival of a call to its first token.", latencyBuckets, "customer", "profile"),
		betweenToken:     histogram("between_tokens_seconds", "Time between two tokens of a stream.", latencyBuckets, "customer", "profile"),
		batchFill:        histogram("batch_fill_ratio", "Running calls over capacity at each engine report.", ratioBuckets, "engine"),
		outcomes:         counter("outcomes_total", "Calls by outcome and reason.", "customer", "profile", "outcome", "code"),
		retries:          counter("retries_total", "Repeated attempts by the reason of the attempt before.", "code"),
		droppedResponses: counter("dropped_answers_total", "Answers dropped because they belong to another attempt or model.", "reason"),
		loads:            counter("adapter_loads_total", "Load orders by result.", "engine", "result"),
		evictions:        counter("adapter_evictions_total", "Unload orders by result.", "engine", "result"),
		kvCalls:          counter("kv_calls_total", "Calls to the key-value service by kind and result.", "kind", "result"),
		peerBytes:        counter("peer_bytes_total", "Bytes exchanged with other daemons by method and direction.", "method", "direction"),
		claimBatch: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "claims_per_commit", Help: "Claim records in one commit.", Buckets: sizeBuckets,
		}),
		generation: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "configuration_generation", Help: "Configuration generation in force.",
		}),
		regressions: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "configuration_regressions_total", Help: "Times the key-value service showed an older generation than the one in force.",
		}),
	}
	registerer.MustRegister(s.loadStall, s.queueWait, s.firstToken, s.betweenToken, s.batchFill,
		s.outcomes, s.retries, s.droppedResponses, s.loads, s.evictions, s.claimBatch, s.kvCalls, s.peerBytes,
		s.generation, s.regressions)
	return s
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets,
	}, labels)
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// LoadStall records the time that a call waited for its adapter to load.
func (s *Set) LoadStall(customer, profile string, d time.Duration) {
	s.loadStall.WithLabelValues(customer, profile).Observe(d.Seconds())
}

// QueueWait records the time that a call waited before dispatch.
func (s *Set) QueueWait(customer, profile string, d time.Duration) {
	s.queueWait.WithLabelValues(customer, profile).Observe(d.Seconds())
}

// FirstToken records the time from a call's arrival to its first token.
func (s *Set) FirstToken(customer, profile string, d time.Duration) {
	s.firstToken.WithLabelValues(customer, profile).Observe(d.Seconds())
}

// BetweenTokens records the time between two tokens of a stream.
func (s *Set) BetweenTokens(customer, profile string, d time.Duration) {
	s.betweenToken.WithLabelValues(customer, profile).Observe(d.Seconds())
}

// BatchFill records the ratio of running calls to capacity of an engine.
func (s *Set) BatchFill(engine string, ratio float64) {
	s.batchFill.WithLabelValues(engine).Observe(ratio)
}

// Outcome counts one ended call.
func (s *Set) Outcome(customer, profile, outcome, code string) {
	s.outcomes.WithLabelValues(customer, profile, outcome, code).Inc()
}

// Retry counts one repeated attempt.
func (s *Set) Retry(code string) {
	s.retries.WithLabelValues(code).Inc()
}

// DroppedResponse counts one response that was not delivered.
func (s *Set) DroppedResponse(reason string) {
	s.droppedResponses.WithLabelValues(reason).Inc()
}

// Load counts one load order.
func (s *Set) Load(engine, result string) {
	s.loads.WithLabelValues(engine, result).Inc()
}

// Eviction counts one unload order.
func (s *Set) Eviction(engine, result string) {
	s.evictions.WithLabelValues(engine, result).Inc()
}

// ClaimBatch records the number of claim records in one commit.
func (s *Set) ClaimBatch(records int) {
	s.claimBatch.Observe(float64(records))
}

// KVCall counts one call to the key-value service.
func (s *Set) KVCall(kind, result string) {
	s.kvCalls.WithLabelValues(kind, result).Inc()
}

// PeerBytes counts bytes exchanged with other daemons.
func (s *Set) PeerBytes(method, direction string, n int) {
	s.peerBytes.WithLabelValues(method, direction).Add(float64(n))
}

// Generation sets the configuration generation in force.
func (s *Set) Generation(g uint64) {
	s.generation.Set(float64(g))
}

// Regression counts one read of a generation older than the one in force.
func (s *Set) Regression() {
	s.regressions.Inc()
}
