package metrics

import (
	"math"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Gateway holds the collectors of a daemon that serves callers by routes. The
// values of the labels route and service come from the accepted configuration.
type Gateway struct {
	// Quotas are those of customers' quotas.
	Quotas        *Quotas
	requests      *prometheus.CounterVec
	duration      *prometheus.HistogramVec
	firstEvent    *prometheus.HistogramVec
	estimateRatio *prometheus.HistogramVec
	loadWait      *prometheus.HistogramVec
	repeatedSends *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	skipped       *prometheus.CounterVec
	turnsDeclined *prometheus.CounterVec
	takenUp       *prometheus.CounterVec
	statements    *prometheus.CounterVec
	engineCrashes *prometheus.CounterVec
	withheld      *prometheus.CounterVec
	blockedCauses *prometheus.CounterVec
	engineOrders  *prometheus.CounterVec
	engineReports *prometheus.CounterVec
	kvCalls       *prometheus.CounterVec
	meshBytes     *prometheus.CounterVec
	checkpoints   *prometheus.CounterVec
	catchUps      *prometheus.CounterVec
	configStep    *prometheus.HistogramVec
	entryDrops    *prometheus.CounterVec
	passedOn      *prometheus.CounterVec
	placeWaits    *prometheus.CounterVec
	repeatBudget  *prometheus.CounterVec
	cutOff        prometheus.Gauge
	version       prometheus.Gauge
	storeEra      prometheus.Gauge
	proofAge      prometheus.Gauge
}

// NewGateway creates the collectors and registers them with the registerer.
func NewGateway(registerer prometheus.Registerer) *Gateway {
	g := &Gateway{
		Quotas:        newQuotas(registerer),
		requests:      counter("requests_total", "Requests by route and outcome.", "route", "outcome"),
		duration:      histogram("request_seconds", "Time from the arrival of a request to the end of its answer.", latencyBuckets, "route"),
		firstEvent:    histogram("first_event_seconds", "Time from the arrival of a request to the first event of its answer.", latencyBuckets, "route"),
		estimateRatio: histogram("first_event_estimate_ratio", "Time from the choice of an engine to the first event over the expected time.", estimateBuckets, "route"),
		loadWait:      histogram("adapter_wait_seconds", "Time that a request waited for its adapter at one engine.", latencyBuckets, "route"),
		repeatedSends: counter("repeated_sends_total", "Sends beyond the first one of a request, by service.", "service", "kind"),
		refusals:      counter("upstream_refusals_total", "Upstreams' responses that a request has not run, by service and whether they name the request.", "service", "identified"),
		skipped:       counter("skipped_responses_total", "Responses to other requests on upstreams' connections, by service.", "service"),
		turnsDeclined: counter("rate_limit_declines_total", "Requests that have found no room within an upstream's rate limit, by service.", "service"),
		takenUp:       counter("streams_taken_up_total", "Streams that callers take up, by service and whether it is known which software version began them.", "service", "known"),
		statements:    counter("upstream_statements_total", "Statements about later requests in upstreams' answers, by kind.", "kind"),
		engineCrashes: counter("engine_crashes_total", "Requests that an engine had begun to answer when its process ended, by service.", "service"),
		withheld:      counter("withheld_requests_total", "Requests withheld from engines that crash on them or on a part of their prompts, by service.", "service"),
		blockedCauses: counter("crash_causes_blocked_total", "Prompt parts and requests that were blocked as engines crash on them, by kind.", "kind"),
		placeWaits:    counter("place_waits_total", "Waits for a place at fragile replicas, by service and result.", "service", "result"),
		repeatBudget:  counter("repeat_decisions_total", "Decisions on repeated sends by the retry budget, by service and result.", "service", "result"),
		passedOn:      counter("passed_on_requests_total", "Requests passed on to another VM that reaches upstreams, by service.", "service"),
		cutOff: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "cut_off", Help: "1 while this VM reaches no upstream.",
		}),
		engineOrders:  counter("engine_orders_total", "Orders to engines by kind and result.", "kind", "result"),
		engineReports: counter("engine_reports_total", "Questions to engines for their report, by result.", "result"),
		kvCalls:       counter("gateway_kv_calls_total", "Calls to the key-value service by kind and result.", "kind", "result"),
		meshBytes:     counter("mesh_bytes_total", "Bytes of datagrams between daemons by direction.", "direction"),
		checkpoints:   counter("checkpoints_total", "Watchers' checkpoints by how this daemon's copy compared.", "result"),
		catchUps:      counter("gateway_kv_catch_ups_total", "Catch-ups of the copy of the key-value service after an interruption, by cause and way.", "cause", "way"),
		configStep:    histogram("config_apply_seconds", "Time of the steps that put a configuration in force.", latencyBuckets, "step"),
		entryDrops:    counter("dropped_entries_total", "Malformed or too large entries of the dissemination between daemons, by kind.", "kind"),
		storeEra: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "gateway_kv_era", Help: "Era of the key-value service; it rises with each return from an older copy.",
		}),
		proofAge: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "config_proof_age_seconds", Help: "Age of the proof that the configuration is the newest; NaN before the first one.",
		}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "routing_version", Help: "Configuration version in force.",
		}),
	}
	registerer.MustRegister(g.requests, g.duration, g.firstEvent, g.estimateRatio, g.loadWait, g.repeatedSends, g.refusals, g.skipped, g.turnsDeclined, g.takenUp, g.statements, g.engineCrashes, g.withheld, g.blockedCauses, g.passedOn, g.placeWaits, g.repeatBudget, g.cutOff, g.engineOrders, g.engineReports, g.kvCalls, g.meshBytes, g.checkpoints, g.catchUps, g.configStep, g.entryDrops, g.version, g.storeEra, g.proofAge)
	return g
}

// RequestEnded counts a request that has ended and records its duration.
func (g *Gateway) RequestEnded(route, outcome string, took time.Duration) {
	g.requests.WithLabelValues(route, outcome).Inc()
	g.duration.WithLabelValues(route).Observe(took.Seconds())
}

// FirstEvent records the time from a request's arrival to the first event of its
// response.
func (g *Gateway) FirstEvent(route string, took time.Duration) {
	g.firstEvent.WithLabelValues(route).Observe(took.Seconds())
}

// FirstEventEstimate records how the time to a first event compares with the expected one.
func (g *Gateway) FirstEventEstimate(route string, expected, seen time.Duration) {
	g.estimateRatio.WithLabelValues(route).Observe(float64(seen) / float64(max(expected, 1)))
}

// LoadWait records the time that a request waited for its adapter.
func (g *Gateway) LoadWait(route string, took time.Duration) {
	g.loadWait.WithLabelValues(route).Observe(took.Seconds())
}

// RepeatedSend counts a send of a request after its first one.
func (g *Gateway) RepeatedSend(service, kind string) {
	g.repeatedSends.WithLabelValues(service, kind).Inc()
}

// Refusal counts an upstream's response that a request has not run.
func (g *Gateway) Refusal(service string, identified bool) {
	g.refusals.WithLabelValues(service, strconv.FormatBool(identified)).Inc()
}

// ResponsesSkipped counts responses to other requests on a connection.
func (g *Gateway) ResponsesSkipped(service string, n int) {
	g.skipped.WithLabelValues(service).Add(float64(n))
}

// TurnDeclined counts a request that has found no room within an upstream's rate
// limit.
func (g *Gateway) TurnDeclined(service string) {
	g.turnsDeclined.WithLabelValues(service).Inc()
}

// StreamTakenUp counts a stream that a caller takes up.
func (g *Gateway) StreamTakenUp(service string, known bool) {
	g.takenUp.WithLabelValues(service, strconv.FormatBool(known)).Inc()
}

// Statement counts a statement about later requests in an upstream's answer.
func (g *Gateway) Statement(kind string) {
	g.statements.WithLabelValues(kind).Inc()
}

// EngineCrash counts a request that an engine had begun to answer when its process
// ended.
func (g *Gateway) EngineCrash(service string) {
	g.engineCrashes.WithLabelValues(service).Inc()
}

// RequestWithheld counts a request that no engine gets because engines crash on it or on a
// part of its prompt.
func (g *Gateway) RequestWithheld(service string) {
	g.withheld.WithLabelValues(service).Inc()
}

// CrashCauseBlocked counts a prompt part or a request that this daemon blocks, by kind.
func (g *Gateway) CrashCauseBlocked(kind string) {
	g.blockedCauses.WithLabelValues(kind).Inc()
}

// WaitedForPlace counts a wait for a place at fragile replicas.
func (g *Gateway) WaitedForPlace(service string, granted bool) {
	g.placeWaits.WithLabelValues(service, resultOf(granted)).Inc()
}

// RepeatDecided counts a decision of the retry budget on a repeated send.
func (g *Gateway) RepeatDecided(service string, allowed bool) {
	g.repeatBudget.WithLabelValues(service, resultOf(allowed)).Inc()
}

func resultOf(granted bool) string {
	if granted {
		return "granted"
	}
	return "refused"
}

// RequestPassedOn counts a request that is passed on to another VM.
func (g *Gateway) RequestPassedOn(service string) {
	g.passedOn.WithLabelValues(service).Inc()
}

// CutOff records whether this VM reaches no upstream.
func (g *Gateway) CutOff(cutOff bool) {
	value := 0.0
	if cutOff {
		value = 1
	}
	g.cutOff.Set(value)
}

// EngineOrder counts an order to an engine.
func (g *Gateway) EngineOrder(kind, result string) {
	g.engineOrders.WithLabelValues(kind, result).Inc()
}

// EngineReport counts a request for an engine's report.
func (g *Gateway) EngineReport(result string) {
	g.engineReports.WithLabelValues(result).Inc()
}

// KVCall counts a call to the key-value service.
func (g *Gateway) KVCall(kind, result string) {
	g.kvCalls.WithLabelValues(kind, result).Inc()
}

// MeshBytes counts bytes of datagrams between daemons.
func (g *Gateway) MeshBytes(direction string, n int) {
	g.meshBytes.WithLabelValues(direction).Add(float64(n))
}

// Checkpoint counts a checkpoint of a watcher.
func (g *Gateway) Checkpoint(result string) {
	g.checkpoints.WithLabelValues(result).Inc()
}

// CatchUp counts a catch-up of the copy of the key-value service.
func (g *Gateway) CatchUp(cause, way string) {
	g.catchUps.WithLabelValues(cause, way).Inc()
}

// ConfigStep records the time of a step that puts a configuration in force.
func (g *Gateway) ConfigStep(step string, took time.Duration) {
	g.configStep.WithLabelValues(step).Observe(took.Seconds())
}

// EntryDropped counts a malformed or too large entry of the dissemination.
func (g *Gateway) EntryDropped(kind uint32) {
	g.entryDrops.WithLabelValues(strconv.FormatUint(uint64(kind), 10)).Inc()
}

// ConfigProofAge sets the age of the proof that the configuration is the newest.
func (g *Gateway) ConfigProofAge(age time.Duration, known bool) {
	if !known {
		g.proofAge.Set(math.NaN())
		return
	}
	g.proofAge.Set(age.Seconds())
}

// StoreEra sets the era of the key-value service.
func (g *Gateway) StoreEra(era int64) {
	g.storeEra.Set(float64(era))
}

// Version sets the configuration version in force.
func (g *Gateway) Version(version int64) {
	g.version.Set(float64(version))
}
