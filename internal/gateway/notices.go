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

// Time constants of the notices between daemons.
const (
	// minLivenessTimeout is how long a daemon without notices counts as alive in a
	// small fleet.
	minLivenessTimeout = 2 * time.Second
	// outageReportTTL is how old another daemon's word on the key-value service may be.
	outageReportTTL = time.Second
)

// peer is what is known of another daemon by its datagrams.
type peer struct {
	lastHeartbeatAt time.Duration
	incarnation     int64
	storeDown       bool
	draining        bool
	// mayOrder tells that it gives mayOrder to engines.
	mayOrder bool
	// sentAt is its clock at its last notice.
	sentAt int64
}

// peers holds what is known by datagrams. It is safe for concurrent use.
type peers struct {
	mu     sync.Mutex // guards heard; held for look-ups and changes only
	byName map[string]peer
}

func newPeers() *peers {
	return &peers{byName: make(map[string]peer)}
}

func (p *peers) set(name string, state peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byName[name] = state
}

func (p *peers) get(name string) (peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.byName[name]
	return state, ok
}

// members returns the daemons of the fleet: those with a member key, and those
// that have lost it but are still heard.
func (g *Gateway) members() []fleet.Member {
	members := g.keeper.Members()
	now := clock.Boot()
	silence := livenessTimeout(len(members))
	for _, m := range g.keeper.FormerMembers() {
		if p, ok := g.peers.get(m.Name); ok && p.incarnation == m.Incarnation && !p.draining && now-p.lastHeartbeatAt < silence {
			members = append(members, m)
		}
	}
	return members
}

func (g *Gateway) runHeartbeats(ctx context.Context) {
	var who recipientSelector
	for clock.Sleep(ctx, heartbeatInterval) {
		g.setWatchPause()
		g.sendHeartbeats(&who)
	}
}

// sendHeartbeats tells other daemons about this one's use of their engines, and
// about the engines of this one.
func (g *Gateway) sendHeartbeats(who *recipientSelector) {
	addresses := g.otherAddresses()
	names := slices.Sorted(maps.Keys(addresses))
	uses := g.usesByOwner()
	states := g.ownedStates()
	down := g.storeDisconnected()
	sharing := partners(uses, states)
	if !down {
		g.addStoreDisconnected(sharing, names)
	}
	orders := g.keeper.MayOrderAny()
	for _, name := range who.next(clock.Boot(), names, sharing, down) {
		g.sendHeartbeat(addresses[name], name, mesh.Heartbeat{
			StoreDown: down,
			MayOrder:  orders,
			Uses:      uses[name],
			States:    statesFor(name, states, len(names)),
		})
	}
}

// sendHeartbeat completes a notice and sends it.
func (g *Gateway) sendHeartbeat(address, member string, notice mesh.Heartbeat) {
	notice.Draining = g.draining.Load()
	notice.SentAt = int64(clock.Boot())
	g.confirmOwnership(member, &notice)
	g.mesh.Send(address, mesh.Packet{Heartbeat: &notice})
}

// sendDrainingHeartbeats tells all other daemons that this one is draining.
func (g *Gateway) sendDrainingHeartbeats() {
	for name, address := range g.otherAddresses() {
		g.sendHeartbeat(address, name, mesh.Heartbeat{StoreDown: g.storeDisconnected()})
	}
}

// otherAddresses returns the addresses of the other daemons.
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

// addStoreDisconnected adds the daemons that have just said that they do not reach
// the key-value service: they need this one's word on which engines are theirs.
func (g *Gateway) addStoreDisconnected(list map[string]bool, names []string) {
	now := clock.Boot()
	for _, name := range names {
		if p, ok := g.peers.get(name); ok && p.storeDown && now-p.lastHeartbeatAt < outageReportTTL {
			list[name] = true
		}
	}
}

// usesByOwner returns this daemon's use of engines by the daemons that order
// them. Its own engines are told at once.
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

// ownedState is the state of an engine of this daemon, and who uses it.
type ownedState struct {
	message mesh.EngineState
	users   map[string]bool
}

// ownedStates returns the state of this daemon's engines. Its own requests are told
// at once.
func (g *Gateway) ownedStates() []ownedState {
	states := g.orders.EngineStates()
	list := make([]ownedState, 0, len(states))
	for _, state := range states {
		g.locator.ApplyState(state)
		users := make(map[string]bool, len(state.RecentUsers))
		for _, user := range state.RecentUsers {
			users[user] = true
		}
		list = append(list, ownedState{message: stateMessage(state), users: users})
	}
	return list
}

// partners returns the daemons with which engines are shared at present.
func partners(uses map[string][]mesh.EngineUse, states []ownedState) map[string]bool {
	list := make(map[string]bool, len(uses))
	for name := range uses {
		list[name] = true
	}
	for _, state := range states {
		for name := range state.users {
			list[name] = true
		}
	}
	return list
}

// statesFor returns what one of the other daemons is told about engines.
func statesFor(name string, states []ownedState, others int) []mesh.EngineState {
	var list []mesh.EngineState
	for _, state := range states {
		if others < allStatesFleetSize || state.users[name] {
			list = append(list, state.message)
		}
	}
	return list
}

// confirmOwnership adds to a notice which engines the receiver owns, if this daemon has
// read the key-value service since the receiver's last notice came. With that
// a daemon that the service turns away can go on giving orders.
func (g *Gateway) confirmOwnership(member string, notice *mesh.Heartbeat) {
	p, ok := g.peers.get(member)
	if !ok || g.storeDown.Load() || g.mirror.AsOf() < p.lastHeartbeatAt {
		return
	}
	notice.ConfirmedEngines = g.keeper.OwnedBy(member, p.incarnation)
	notice.EchoedSentAt = p.sentAt
}

// reportedMayOrder reports whether a member has just said that it gives orders.
func (g *Gateway) reportedMayOrder(member string) bool {
	p, ok := g.peers.get(member)
	fresh := max(outageReportTTL, heartbeatPeriod(g.budgets.memberCount())+heartbeatInterval)
	return ok && p.mayOrder && !p.draining && clock.Boot()-p.lastHeartbeatAt < fresh
}

// receive takes over a datagram.
func (g *Gateway) receive(packet mesh.Packet) {
	switch {
	case packet.Heartbeat != nil:
		g.receiveHeartbeat(packet.From, packet.Incarnation, packet.Heartbeat)
	case packet.AdmissionRequest != nil:
		g.handleRequest(packet.From, packet.AdmissionRequest.Engine, requestOf(packet.AdmissionRequest))
	case packet.AdmissionStatus != nil:
		news := packet.AdmissionStatus
		g.locator.HandleStatus(orders.AdmissionStatus{
			Engine: news.Engine, Ticket: news.Ticket, Status: residency.Status(news.Status), Waiting: news.Waiting,
		})
	case len(packet.Changes) > 0:
		changes := make([]mirror.Change, len(packet.Changes))
		for i, message := range packet.Changes {
			changes[i] = changeOf(message)
		}
		g.mirror.Inject(changes)
	case packet.AdmissionProgress != nil:
		begun := packet.AdmissionProgress
		g.orders.HandleProgress(begun.Engine, admission.Key{Entry: packet.From, Ticket: begun.Ticket}, orders.AdmissionProgress{Refused: begun.Refused, Ended: begun.Ended})
	}
}

func (g *Gateway) receiveHeartbeat(from string, boot int64, notice *mesh.Heartbeat) {
	g.peers.set(from, peer{
		lastHeartbeatAt: clock.Boot(), incarnation: boot, storeDown: notice.StoreDown, draining: notice.Draining, mayOrder: notice.MayOrder, sentAt: notice.SentAt,
	})
	if len(notice.ConfirmedEngines) > 0 {
		g.keeper.ConfirmOwnership(notice.ConfirmedEngines, time.Duration(notice.EchoedSentAt))
	}
	for _, use := range notice.Uses {
		g.orders.RecordUse(from, use.Engine, use.Running, usesOf(use))
	}
	for _, state := range notice.States {
		g.locator.ApplyState(stateOf(state))
	}
}

// sendRequest passes an sendRequest on to the owner of the engine.
func (g *Gateway) sendRequest(engine string, ask locator.AdmissionRequest) bool {
	owner, ok := g.keeper.Owner(engine)
	if !ok {
		return false
	}
	self := g.keeper.Self()
	if owner.Name == self.Name {
		g.handleRequest(self.Name, engine, ask)
		return true
	}
	g.mesh.Send(owner.Mesh, mesh.Packet{AdmissionRequest: requestMessage(engine, ask)})
	return true
}

// handleRequest takes an entry's ask to the worker of the engine and tells how it
// stands.
func (g *Gateway) handleRequest(entry, engine string, ask locator.AdmissionRequest) {
	if ask.Ticket == 0 {
		g.orders.RequestLoad(engine, ask.Adapter, ask.Version)
		return
	}
	g.sendStatus(entry, g.orders.RequestAdmission(engine, admission.Request{
		Key:            admission.Key{Entry: entry, Ticket: ask.Ticket},
		Adapter:        ask.Adapter,
		Version:        ask.Version,
		PromptTokens:   ask.Tokens,
		Priority:       ask.Rank,
		PauseObjective: ask.PauseObjective,
		FirstEventDue:  ask.Due,
		Deadline:       ask.Expires,
	}))
}

// sendProgress tells the owner of an engine that a turn is over, or its request ended.
func (g *Gateway) sendProgress(engine string, ticket uint64, progress orders.AdmissionProgress) {
	owner, ok := g.keeper.Owner(engine)
	if !ok {
		return
	}
	self := g.keeper.Self()
	if owner.Name == self.Name {
		g.orders.HandleProgress(engine, admission.Key{Entry: self.Name, Ticket: ticket}, progress)
		return
	}
	g.mesh.Send(owner.Mesh, mesh.Packet{AdmissionProgress: &mesh.AdmissionProgress{Engine: engine, Ticket: ticket, Refused: progress.Refused, Ended: progress.Ended}})
}

// sendStatus passes news about a request on to its entry.
func (g *Gateway) sendStatus(entry string, news orders.AdmissionStatus) {
	if entry == g.settings.Load().VM {
		g.locator.HandleStatus(news)
		return
	}
	m, ok := g.keeper.Member(entry)
	if !ok {
		return
	}
	g.mesh.Send(m.Mesh, mesh.Packet{AdmissionStatus: &mesh.AdmissionStatus{
		Engine: news.Engine, Ticket: news.Ticket, Status: int(news.Status), Waiting: news.Waiting,
	}})
}

// requestMessage and askOf carry times as distances from now, because daemons do
// not share a clock.
func requestMessage(engine string, ask locator.AdmissionRequest) *mesh.AdmissionRequest {
	now := clock.Boot()
	return &mesh.AdmissionRequest{
		Engine: engine, Ticket: ask.Ticket, Model: ask.Adapter.Model, Adapter: ask.Adapter.Name, Version: ask.Version,
		Tokens: ask.Tokens, Rank: ask.Rank, PauseObjective: ask.PauseObjective.Milliseconds(),
		Due: (ask.Due - now).Milliseconds(), Expires: (ask.Expires - now).Milliseconds(),
	}
}

func requestOf(message *mesh.AdmissionRequest) locator.AdmissionRequest {
	now := clock.Boot()
	return locator.AdmissionRequest{
		Ticket:         message.Ticket,
		Adapter:        topology.Adapter{Model: message.Model, Name: message.Adapter},
		Version:        message.Version,
		Tokens:         message.Tokens,
		Rank:           message.Rank,
		PauseObjective: time.Duration(message.PauseObjective) * time.Millisecond,
		Due:            now + time.Duration(message.Due)*time.Millisecond,
		Expires:        now + time.Duration(message.Expires)*time.Millisecond,
	}
}

// storeDisconnected reports whether this daemon does not reach the key-value service.
// The watch tells late when the service falls silent, the renewals soon.
func (g *Gateway) storeDisconnected() bool {
	return g.storeDown.Load() || !g.keeper.StoreConnected()
}

// storeUnreachableByAll reports whether all other daemons have just said that they
// can't reach the key-value service, and this one can't either.
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
		if !ok || !p.storeDown || now-p.lastHeartbeatAt > outageReportTTL {
			return false
		}
		others++
	}
	return others > 0
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
	}
	for _, held := range state.Held {
		message.Held = append(message.Held, mesh.HeldAdapter{Model: held.Adapter.Model, Adapter: held.Adapter.Name, Version: held.Version})
	}
	return message
}

func stateOf(message mesh.EngineState) orders.EngineState {
	state := orders.EngineState{
		Engine: message.Engine, Incarnation: message.Incarnation, Running: message.Running, PendingLoads: message.PendingLoads, Waiting: message.Waiting,
	}
	for _, held := range message.Held {
		state.Held = append(state.Held, residency.HeldAdapter{
			Adapter: topology.Adapter{Model: held.Model, Name: held.Adapter}, Version: held.Version,
		})
	}
	return state
}
