package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/admission"
	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/fleet"
	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// Time constants of the heartbeats between daemons.
const (
	// minLivenessTimeout is how long a daemon counts as alive after its last
	// heartbeat in a small fleet.
	minLivenessTimeout = 2 * time.Second
	// outageReportTTL is how long another daemon's report that it can't reach the
	// key-value service is used.
	outageReportTTL = time.Second
)

// peer holds what another daemon's last heartbeat reported, and when it arrived.
type peer struct {
	lastHeartbeatAt time.Duration
	incarnation     int64
	storeDown       bool
	// newestClaim, lacksClaims and newestSoftware are the heartbeat's fields of the same
	// names.
	newestClaim    int64
	lacksClaims    bool
	newestSoftware int64
	draining       bool
	// cutOff is set when it reaches no upstream.
	cutOff bool
	// notFresh is set when its configuration has not been proven the newest for too long.
	notFresh bool
	// mayOrder is set when it may send orders to an engine.
	mayOrder bool
	// recent are its last heartbeats, oldest first.
	recent []heardHeartbeat
}

// keptHeartbeats is the number of a daemon's heartbeats that may still be confirmed: a proof that
// this daemon's copy is complete comes after several of them.
const keptHeartbeats = 4

// heardHeartbeat is when a heartbeat arrived, and the sender's clock.Boot when it was sent.
type heardHeartbeat struct {
	arrivedAt time.Duration
	sentAt    int64
}

// with returns the daemon's last heartbeats after another one of the same process.
func (p peer) with(h heardHeartbeat) []heardHeartbeat {
	kept := p.recent[max(len(p.recent)-keptHeartbeats+1, 0):]
	return append(slices.Clone(kept), h)
}

// arrivedBy returns when the last heartbeat that had arrived by asOf was sent.
func (p peer) arrivedBy(asOf time.Duration) (sentAt int64, ok bool) {
	for _, h := range slices.Backward(p.recent) {
		if h.arrivedAt <= asOf {
			return h.sentAt, true
		}
	}
	return 0, false
}

// peers holds the last heartbeats of other daemons. It is safe for concurrent
// use.
type peers struct {
	mu     sync.Mutex // guards byName; held for lookups and updates only
	byName map[string]peer
}

func newPeers() *peers {
	return &peers{byName: make(map[string]peer)}
}

func (p *peers) set(name string, other peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byName[name] = other
}

func (p *peers) get(name string) (peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	other, ok := p.byName[name]
	return other, ok
}

// members returns the daemons of the fleet: those with a member key, and those
// that have lost it but still send heartbeats.
func (g *Gateway) members() []fleet.Member {
	members := g.keeper.Members()
	now := clock.Boot()
	registered := len(members)
	for _, m := range g.keeper.FormerMembers() {
		if p, ok := g.peers.get(m.Name); ok && p.incarnation == m.Incarnation && !p.draining && p.isAlive(now, registered, false) {
			members = append(members, m)
		}
	}
	return members
}

// newestReported returns the highest revision in the reports of an outage that are still in use at
// now, of daemons with and without a member key; 0 if there is none. of selects the revision.
func (p *peers) newestReported(now time.Duration, of func(peer) int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := int64(0)
	for _, other := range p.byName {
		if other.reportsOutage(now) {
			newest = max(newest, of(other))
		}
	}
	return newest
}

// newestClaim and newestSoftware select a revision of a report.
func newestClaim(p peer) int64    { return p.newestClaim }
func newestSoftware(p peer) int64 { return p.newestSoftware }

// anyReportsOutage reports whether a daemon has just reported that it can't reach the key-value
// service.
func (p *peers) anyReportsOutage(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.byName {
		if other.reportsOutage(now) {
			return true
		}
	}
	return false
}

// reportsOutage reports whether the daemon has just reported that it can't reach the key-value
// service.
func (p peer) reportsOutage(now time.Duration) bool {
	return p.storeDown && now-p.lastHeartbeatAt <= outageReportTTL
}

func (g *Gateway) runHeartbeats(ctx context.Context) {
	var selector recipientSelector
	for clock.Sleep(ctx, heartbeatInterval) {
		g.noteStoreReturn()
		g.setWatchPause()
		g.sendHeartbeats(&selector)
		g.sendCheckpoints(clock.Boot())
	}
}

// sendHeartbeats reports this daemon's use of other daemons' engines to their
// owners, and the states of its own engines.
func (g *Gateway) sendHeartbeats(selector *recipientSelector) {
	addresses := g.otherAddresses()
	names := slices.Sorted(maps.Keys(addresses))
	uses := g.usesByOwner()
	states := g.ownedStates()
	storeDown := g.storeDisconnected()
	sharing := partners(uses, states)
	if !storeDown {
		g.addStoreDisconnected(sharing, names)
	}
	mayOrder := g.keeper.MayOrderAny()
	crashes := g.quarantineNotice()
	for _, name := range selector.next(clock.Boot(), names, sharing, storeDown) {
		g.sendHeartbeat(addresses[name], name, crashes, mesh.Heartbeat{
			StoreDown: storeDown,
			MayOrder:  mayOrder,
			Uses:      uses[name],
			States:    statesFor(name, states, len(names)),
		})
	}
}

// sendHeartbeat completes a heartbeat and sends it.
func (g *Gateway) sendHeartbeat(address, member string, crashes quarantineNotice, heartbeat mesh.Heartbeat) {
	heartbeat.Draining = g.draining.Load()
	heartbeat.SentAt = int64(clock.Boot())
	if heartbeat.CutOff = g.CutOff(); heartbeat.CutOff {
		// What this daemon believes of engines is not true for others.
		heartbeat.States = nil
	}
	heartbeat.NotFresh = !g.isListed()
	heartbeat.Leaving = g.recentStatements()
	crashes.addTo(&heartbeat)
	g.addNewestRecords(&heartbeat)
	g.confirmOwnership(member, &heartbeat)
	g.mesh.Send(address, mesh.Packet{Heartbeat: &heartbeat})
	g.router.Send(member, g.fragilityEntries()...)
}

// sendHeartbeatsToAll notifies all other daemons at once that this one is draining, is cut
// off from all upstreams, or is back.
func (g *Gateway) sendHeartbeatsToAll() {
	crashes := g.quarantineNotice()
	for name, address := range g.otherAddresses() {
		g.sendHeartbeat(address, name, crashes, mesh.Heartbeat{StoreDown: g.storeDisconnected()})
	}
}

// otherAddresses returns the mesh addresses of the other daemons by name.
func (g *Gateway) otherAddresses() map[string]string {
	self := g.keeper.Self().Name
	addresses := make(map[string]string)
	for _, m := range g.members() {
		if m.Name != self {
			addresses[m.Name] = m.Mesh
		}
	}
	return addresses
}

// addStoreDisconnected adds the daemons that have just reported that they can't
// reach the key-value service: they need this one's confirmation of the engines
// that they own.
func (g *Gateway) addStoreDisconnected(recipients map[string]bool, names []string) {
	now := clock.Boot()
	for _, name := range names {
		if p, ok := g.peers.get(name); ok && p.reportsOutage(now) {
			recipients[name] = true
		}
	}
}

// usesByOwner returns this daemon's use of engines by their owners. The use of
// its own engines is recorded at once.
func (g *Gateway) usesByOwner() map[string][]mesh.EngineUse {
	self := g.keeper.Self().Name
	uses := make(map[string][]mesh.EngineUse)
	for _, use := range g.locator.DrainUses() {
		owner, ok := g.keeper.Owner(use.Engine)
		if !ok {
			continue
		}
		if owner.Name == self {
			g.orders.RecordUse(self, use.Engine, use.Running, use.Uses)
			continue
		}
		uses[owner.Name] = append(uses[owner.Name], useMessage(use))
	}
	return uses
}

// ownedState is the state of an engine of this daemon and the entries that use
// it.
type ownedState struct {
	message mesh.EngineState
	users   map[string]bool
}

// ownedStates returns the states of this daemon's engines. It also applies them
// to this daemon's own locator.
func (g *Gateway) ownedStates() []ownedState {
	states := g.orders.EngineStates()
	owned := make([]ownedState, 0, len(states))
	for _, state := range states {
		g.locator.ApplyState(state)
		users := make(map[string]bool, len(state.RecentUsers))
		for _, user := range state.RecentUsers {
			users[user] = true
		}
		owned = append(owned, ownedState{message: stateMessage(state), users: users})
	}
	return owned
}

// partners returns the daemons that currently share engines with this one.
func partners(uses map[string][]mesh.EngineUse, states []ownedState) map[string]bool {
	names := make(map[string]bool, len(uses))
	for name := range uses {
		names[name] = true
	}
	for _, state := range states {
		for name := range state.users {
			names[name] = true
		}
	}
	return names
}

// statesFor returns the engine states to send to another daemon; others is the
// number of other daemons.
func statesFor(name string, states []ownedState, others int) []mesh.EngineState {
	var messages []mesh.EngineState
	for _, state := range states {
		if others < allStatesFleetSize || state.users[name] {
			messages = append(messages, state.message)
		}
	}
	return messages
}

// confirmOwnership adds the engines that the receiver owns to a heartbeat, if
// this daemon's copy of the key-value service is newer than one of the receiver's
// last heartbeats, or lacks no claim that both know of in an outage. With that
// confirmation, a daemon that can't reach the service may continue to send orders.
func (g *Gateway) confirmOwnership(member string, heartbeat *mesh.Heartbeat) {
	p, ok := g.peers.get(member)
	if !ok {
		return
	}
	sentAt, isNewer := p.arrivedBy(g.mirror.AsOf())
	switch {
	case isNewer && !g.storeDown.Load():
		heartbeat.ConfirmedEngines = g.keeper.OwnedBy(member, p.incarnation)
		heartbeat.EchoedSentAt = sentAt
	case heartbeat.StoreDown && p.storeDown && p.lacksClaims && !heartbeat.LacksClaims:
		heartbeat.ConfirmedEngines, heartbeat.CopyRevision = g.keeper.OwnedAsOf(member, p.incarnation)
	}
}

// addNewestRecords adds the newest claim and the newest software that this daemon knows of to a heartbeat of an outage.
func (g *Gateway) addNewestRecords(heartbeat *mesh.Heartbeat) {
	if !heartbeat.StoreDown {
		return
	}
	now := clock.Boot()
	heartbeat.NewestSoftware = max(g.software.newestRevision(), g.peers.newestReported(now, newestSoftware))
	heartbeat.NewestClaim = max(g.keeper.NewestClaim(), g.peers.newestReported(now, newestClaim))
	heartbeat.LacksClaims = g.keeper.Revision() < heartbeat.NewestClaim
}

// reportedMayOrder reports whether a member has just reported that it may send
// orders to engines.
func (g *Gateway) reportedMayOrder(member string) bool {
	p, ok := g.peers.get(member)
	maxAge := max(outageReportTTL, heartbeatPeriod(g.budgets.memberCount())+heartbeatInterval)
	return ok && p.mayOrder && !p.draining && clock.Boot()-p.lastHeartbeatAt < maxAge
}

// receive handles a datagram of another daemon.
func (g *Gateway) receive(packet mesh.Packet) {
	switch {
	case packet.Heartbeat != nil:
		g.receiveHeartbeat(packet.From, packet.Incarnation, packet.Heartbeat)
	case packet.AdmissionRequest != nil:
		g.applyRateLimit(packet.AdmissionRequest.Engine, packet.AdmissionRequest.RateLimit)
		g.handleRequest(packet.From, packet.AdmissionRequest.Engine, requestOf(packet.AdmissionRequest))
	case packet.AdmissionStatus != nil:
		status := packet.AdmissionStatus
		g.locator.HandleStatus(orders.AdmissionStatus{
			Engine: status.Engine, Ticket: status.Ticket, Status: residency.Status(status.Status), Waiting: status.Waiting,
			Incarnation: status.Incarnation, RoomIn: time.Duration(status.RoomIn) * time.Millisecond,
			WaitingWork: waitingWorkOf(status.WaitingWork), PrefillPerToken: max(time.Duration(status.PrefillPerToken), 0),
		})
	case packet.Origin != nil:
		g.receiveOrigin(packet.Origin.Request, packet.Origin.SoftwareVersion, time.Duration(packet.Origin.TTL)*time.Second)
	case packet.OriginQuery != nil:
		g.answerOrigin(packet.From, packet.OriginQuery)
	case packet.OriginAnswer != nil:
		answer := *packet.OriginAnswer
		answer.From = packet.From
		g.origins.answer(answer)
	case packet.UpstreamPause != nil:
		g.receivePause(packet.UpstreamPause)
	case packet.EngineCrash != nil:
		g.recordCrash(crashOf(packet.EngineCrash), "report of "+packet.From)
	case packet.TurnRequest != nil:
		g.handleTurnRequest(turnRequestOf(packet.From, packet.TurnRequest))
	case packet.TurnGrant != nil:
		g.locator.HandleGrant(packet.TurnGrant.Upstream, packet.TurnGrant.Ticket, grantOf(packet.TurnGrant))
	case len(packet.Changes) > 0:
		changes := make([]mirror.Change, len(packet.Changes))
		for i, message := range packet.Changes {
			changes[i] = changeOf(message)
		}
		g.mirror.Inject(changes)
	case packet.AdapterReady != nil:
		ready := packet.AdapterReady
		g.locator.MarkHeld(ready.Engine, topology.Adapter{Model: ready.Model, Name: ready.Adapter}, ready.Version)
	case len(packet.Entries) > 0 || packet.ExchangeRequest != nil || packet.ExchangeReply != nil:
		g.router.Receive(packet)
	case packet.Checkpoint != nil:
		g.receiveCheckpoint(*packet.Checkpoint)
	case packet.AdmissionProgress != nil:
		progress := packet.AdmissionProgress
		g.applyRateLimit(progress.Engine, progress.RateLimit)
		g.orders.HandleProgress(progress.Engine, admission.Key{Entry: packet.From, Ticket: progress.Ticket}, orders.AdmissionProgress{Refused: progress.Refused, Ended: progress.Ended})
	}
}

func (g *Gateway) receiveHeartbeat(from string, incarnation int64, heartbeat *mesh.Heartbeat) {
	now := clock.Boot()
	previous, ok := g.peers.get(from)
	if !ok || previous.incarnation != incarnation {
		previous = peer{}
	}
	g.peers.set(from, peer{
		lastHeartbeatAt: now, incarnation: incarnation, storeDown: heartbeat.StoreDown, draining: heartbeat.Draining, cutOff: heartbeat.CutOff,
		mayOrder: heartbeat.MayOrder, recent: previous.with(heardHeartbeat{now, heartbeat.SentAt}), notFresh: heartbeat.NotFresh,
		newestClaim: heartbeat.NewestClaim, lacksClaims: heartbeat.LacksClaims, newestSoftware: heartbeat.NewestSoftware,
	})
	switch {
	case len(heartbeat.ConfirmedEngines) == 0:
	case heartbeat.EchoedSentAt != 0:
		g.keeper.ConfirmOwnership(heartbeat.ConfirmedEngines, time.Duration(heartbeat.EchoedSentAt))
	default:
		g.keeper.ProveOwnership(heartbeat.ConfirmedEngines, heartbeat.CopyRevision)
	}
	for _, process := range heartbeat.Leaving {
		g.markLeaving(processKey{process.ID, process.Incarnation}, "heartbeat of "+from)
	}
	g.applyQuarantine(from, heartbeat)
	for _, use := range heartbeat.Uses {
		g.orders.RecordUse(from, use.Engine, use.Running, usesOf(use))
	}
	for _, state := range heartbeat.States {
		g.locator.ApplyState(stateOf(state))
	}
}

// sendRequest sends an admission request to the owner of the engine.
func (g *Gateway) sendRequest(engine string, request locator.AdmissionRequest) bool {
	owner, ok := g.keeper.Owner(engine)
	if !ok || g.isCutOff(owner.Name) {
		return false
	}
	self := g.keeper.Self()
	if owner.Name == self.Name {
		g.applyOwnRateLimit(engine)
		g.handleRequest(self.Name, engine, request)
		return true
	}
	message := requestMessage(engine, request)
	message.RateLimit = g.rateLimitMessage(engine)
	g.mesh.Send(owner.Mesh, mesh.Packet{AdmissionRequest: message})
	return true
}

// handleRequest passes an entry's admission request or load request to the
// engine's worker, and reports the status of an admission request to the entry.
func (g *Gateway) handleRequest(entry, engine string, request locator.AdmissionRequest) {
	if g.CutOff() {
		return // the entry may reach the engine
	}
	if request.Ticket == 0 {
		if g.orders.RequestLoad(engine, request.Adapter, request.Version) {
			g.sendAdapterReady(entry, engine, request.Adapter, request.Version)
		}
		return
	}
	g.sendStatus(entry, g.orders.RequestAdmission(engine, admission.Request{
		Key:            admission.Key{Entry: entry, Ticket: request.Ticket},
		Adapter:        request.Adapter,
		Version:        request.Version,
		PromptTokens:   request.PromptTokens,
		Priority:       request.Priority,
		PauseObjective: request.PauseObjective,
		FirstEventDue:  request.FirstEventDue,
		Deadline:       request.Deadline,
		TurnBy:         request.TurnBy,
		Customer:       request.Customer,
		Weight:         request.Weight,
		Resumes:        request.Resumes,
	}))
}

// sendProgress reports the progress of an admitted request to the owner of its
// engine.
func (g *Gateway) sendProgress(engine string, ticket uint64, progress orders.AdmissionProgress) {
	owner, ok := g.keeper.Owner(engine)
	if !ok {
		return
	}
	self := g.keeper.Self()
	if owner.Name == self.Name {
		g.applyOwnRateLimit(engine)
		g.orders.HandleProgress(engine, admission.Key{Entry: self.Name, Ticket: ticket}, progress)
		return
	}
	g.mesh.Send(owner.Mesh, mesh.Packet{AdmissionProgress: &mesh.AdmissionProgress{
		Engine: engine, Ticket: ticket, Refused: progress.Refused, Ended: progress.Ended, RateLimit: g.rateLimitMessage(engine),
	}})
}

// sendAdapterReady tells an entry that has requested a load that the adapter is
// ready. Entries know the adapters of engines that they don't use late, and would
// go on to send all requests to the holders that they know.
func (g *Gateway) sendAdapterReady(entry, engine string, adapter topology.Adapter, version int64) {
	if entry == g.settings.Load().VM {
		g.locator.MarkHeld(engine, adapter, version)
		return
	}
	if m, ok := g.keeper.Member(entry); ok {
		g.mesh.Send(m.Mesh, mesh.Packet{AdapterReady: &mesh.AdapterReady{Engine: engine, Model: adapter.Model, Adapter: adapter.Name, Version: version}})
	}
}

// sendStatus sends the status of an admission request to its entry.
func (g *Gateway) sendStatus(entry string, status orders.AdmissionStatus) {
	if entry == g.settings.Load().VM {
		g.locator.HandleStatus(status)
		return
	}
	m, ok := g.keeper.Member(entry)
	if !ok {
		return
	}
	g.mesh.Send(m.Mesh, mesh.Packet{AdmissionStatus: &mesh.AdmissionStatus{
		Engine: status.Engine, Ticket: status.Ticket, Status: int(status.Status), Waiting: status.Waiting, RoomIn: status.RoomIn.Milliseconds(),
		Incarnation: status.Incarnation, WaitingWork: status.WaitingWork.Milliseconds(), PrefillPerToken: int64(status.PrefillPerToken),
	}})
}

// requestMessage and requestOf convert between instants and durations from now,
// because daemons do not share a clock.
func requestMessage(engine string, request locator.AdmissionRequest) *mesh.AdmissionRequest {
	now := clock.Boot()
	return &mesh.AdmissionRequest{
		Engine: engine, Ticket: request.Ticket, Model: request.Adapter.Model, Adapter: request.Adapter.Name, Version: request.Version,
		PromptTokens: request.PromptTokens, Priority: request.Priority, PauseObjective: request.PauseObjective.Milliseconds(),
		FirstEventDue: (request.FirstEventDue - now).Milliseconds(), Deadline: (request.Deadline - now).Milliseconds(),
		TurnBy: (request.TurnBy - now).Milliseconds(), Customer: request.Customer, Weight: request.Weight, Resumes: request.Resumes,
	}
}

func requestOf(message *mesh.AdmissionRequest) locator.AdmissionRequest {
	now := clock.Boot()
	return locator.AdmissionRequest{
		Ticket:         message.Ticket,
		Adapter:        topology.Adapter{Model: message.Model, Name: message.Adapter},
		Version:        message.Version,
		PromptTokens:   message.PromptTokens,
		Priority:       message.Priority,
		PauseObjective: time.Duration(message.PauseObjective) * time.Millisecond,
		FirstEventDue:  now + time.Duration(message.FirstEventDue)*time.Millisecond,
		Deadline:       now + time.Duration(message.Deadline)*time.Millisecond,
		TurnBy:         now + time.Duration(message.TurnBy)*time.Millisecond,
		Customer:       message.Customer,
		Weight:         message.Weight,
		Resumes:        message.Resumes,
	}
}

// storeDisconnected reports whether this daemon can't reach the key-value
// service. If the service stops answering, the watch detects that late and the
// lease renewals soon.
func (g *Gateway) storeDisconnected() bool {
	return g.storeDown.Load() || !g.keeper.StoreConnected()
}

// storeUnreachableByAll reports whether all other daemons have just reported
// that they can't reach the key-value service, and this one can't either.
func (g *Gateway) storeUnreachableByAll() bool {
	if !g.storeDisconnected() {
		return false
	}
	now := clock.Boot()
	self := g.settings.Load().VM
	others := 0
	for _, m := range g.keeper.Members() {
		if m.Name == self {
			continue
		}
		p, ok := g.peers.get(m.Name)
		if !ok || !p.reportsOutage(now) {
			return false
		}
		others++
	}
	return others > 0
}

// storeOutageReports returns what the other daemons report of an outage of the key-value service.
func (g *Gateway) storeOutageReports() fleet.Outage {
	if !g.storeUnreachableByAll() {
		return fleet.Outage{}
	}
	return fleet.Outage{SharedByAll: true, NewestClaim: g.peers.newestReported(clock.Boot(), newestClaim)}
}

func useMessage(use locator.EngineUse) mesh.EngineUse {
	message := mesh.EngineUse{Engine: use.Engine, Running: use.Running}
	for _, u := range use.Uses {
		message.Adapters = append(message.Adapters, mesh.AdapterUse{
			Model: u.Adapter.Model, Adapter: u.Adapter.Name, Count: u.Count, Running: u.Running, Turned: u.Admitted,
		})
	}
	return message
}

func usesOf(message mesh.EngineUse) []residency.AdapterUse {
	uses := make([]residency.AdapterUse, 0, len(message.Adapters))
	for _, u := range message.Adapters {
		uses = append(uses, residency.AdapterUse{
			Adapter: topology.Adapter{Model: u.Model, Name: u.Adapter}, Count: u.Count, Running: u.Running, Admitted: u.Turned,
		})
	}
	return uses
}

func stateMessage(state orders.EngineState) mesh.EngineState {
	message := mesh.EngineState{
		Engine: state.Engine, Incarnation: state.Incarnation, Running: state.Running, PendingLoads: state.PendingLoads, Waiting: state.Waiting,
		WaitingWork: state.WaitingWork.Milliseconds(), PrefillPerToken: int64(state.PrefillPerToken),
	}
	if state.RateLimit.Limited {
		message.RateLimit = rateLimitMessageOf(state.Incarnation, state.RateLimit)
	}
	for _, held := range state.Held {
		message.Held = append(message.Held, mesh.HeldAdapter{Model: held.Adapter.Model, Adapter: held.Adapter.Name, Version: held.Version})
	}
	return message
}

// maxWaitingWork bounds the work that another daemon reports. It is above all that an
// engine can have, and keeps sums of it from an overflow.
const maxWaitingWork = time.Hour

// waitingWorkOf returns the work that a message states in milliseconds.
func waitingWorkOf(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxWaitingWork.Milliseconds())) * time.Millisecond
}

func stateOf(message mesh.EngineState) orders.EngineState {
	state := orders.EngineState{
		Engine: message.Engine, Incarnation: message.Incarnation, Running: message.Running, PendingLoads: message.PendingLoads, Waiting: message.Waiting,
		WaitingWork: waitingWorkOf(message.WaitingWork), PrefillPerToken: max(time.Duration(message.PrefillPerToken), 0),
	}
	if message.RateLimit != nil {
		state.RateLimit = rateLimitOf(message.RateLimit)
	}
	for _, held := range message.Held {
		state.Held = append(state.Held, residency.HeldAdapter{
			Adapter: topology.Adapter{Model: held.Model, Name: held.Adapter}, Version: held.Version,
		})
	}
	return state
}
