package ownership

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// errStarted is returned by Start on a Manager that was already started.
var errStarted = errors.New("ownership manager was already started")

// Manager holds this daemon's lease, keeps copies of the member and owner keys,
// and acquires and releases resources. It implements View and is safe for
// concurrent use.
type Manager struct {
	config        Config
	log           *slog.Logger
	origin        time.Time
	createLimiter *rate.Limiter
	wakeWork      chan struct{}
	wakeDelivery  chan struct{}
	renewNow      chan struct{}
	cancel        context.CancelFunc
	running       sync.WaitGroup

	// mu guards the fields below. It is held only to read or change the table,
	// never during a call to the key-value service or to the Listener.
	mu       sync.RWMutex
	table    *table
	validity validity
	events   []holdingEvent
	// sortedMembers holds the members in name order; it is replaced, never
	// changed.
	sortedMembers []Member
	// membersWatchedSince and ownersWatchedSince are when the watches that
	// update the copies were opened; zero if there is none.
	membersWatchedSince time.Time
	ownersWatchedSince  time.Time
	// memberKeyLost is set when the member key was removed although the lease
	// is not known to have ended.
	memberKeyLost bool
	random        *rand.Rand
}

var _ View = (*Manager)(nil)

// NewManager returns a Manager that is not started, or an error that names the
// invalid field of the configuration.
func NewManager(config Config) (*Manager, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	m := &Manager{
		config:        config,
		log:           config.Log.With("part", "ownership"),
		origin:        time.Now(),
		createLimiter: rate.NewLimiter(rate.Limit(config.FleetWriteRate), createBurst),
		wakeWork:      make(chan struct{}, 1),
		wakeDelivery:  make(chan struct{}, 1),
		renewNow:      make(chan struct{}, 1),
		sortedMembers: []Member{config.Self},
		random:        rand.New(rand.NewPCG(xxhash.Sum64String(config.Self.Name), 0)),
	}
	m.table = newTable(config.Self, rules{
		takeoverStep:   config.TakeoverStep,
		releaseHoldOff: config.LeaseTTL,
		writeRate:      config.FleetWriteRate,
		groupSize:      config.GroupSize,
		regionOf:       config.RegionOf,
	})
	return m, nil
}

// Start begins to hold a lease, to watch members and owners and to acquire
// resources, until Stop or the end of ctx. It does not wait for the key-value
// service. The listener is called from one goroutine; it must return soon and
// may call the Manager, except for Release and Stop.
func (m *Manager) Start(ctx context.Context) error {
	if m.cancel != nil {
		return errStarted
	}
	ctx, m.cancel = context.WithCancel(ctx)
	m.running.Go(func() { m.runLease(ctx) })
	m.running.Go(func() { m.follow(ctx, m.memberReplica()) })
	m.running.Go(func() { m.follow(ctx, m.ownerReplica()) })
	m.running.Go(func() { m.runWork(ctx) })
	m.running.Go(func() { m.runEventDelivery(ctx) })
	return nil
}

// Stop ends all work, reports to the listener that every resource is lost and
// then revokes the lease, retrying until ctx ends.
func (m *Manager) Stop(ctx context.Context) {
	if m.cancel == nil {
		return
	}
	m.cancel()
	m.running.Wait()
	m.mu.Lock()
	lease := m.table.incarnation.lease
	m.mu.Unlock()
	m.endIncarnation()
	m.deliverEvents()
	if lease != 0 {
		m.revoke(ctx, lease)
	}
}

// SetResources replaces the set of resources to be owned. Resources that are no
// longer in the set are released.
func (m *Manager) SetResources(resources []Resource) {
	m.update(func(now time.Time) { m.table.setResources(now, resources) })
}

// update changes the table under the lock and wakes the goroutines that act on it.
func (m *Manager) update(change func(now time.Time)) {
	m.mu.Lock()
	change(time.Now())
	m.events = append(m.events, m.table.drainEvents()...)
	m.mu.Unlock()
	signal(m.wakeWork)
	signal(m.wakeDelivery)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// instant returns the current time on both clocks.
func (m *Manager) instant() instant {
	return instantOf(time.Now(), m.origin)
}

// Self implements View.
func (m *Manager) Self() Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table.self
}

// Members implements View. The caller must not change the slice.
func (m *Manager) Members() []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.sortedMembers
}

// sortMembers replaces sortedMembers and sets the rate of creates by the number
// of members. The caller holds m.mu.
func (m *Manager) sortMembers() {
	sorted := make([]Member, 0, len(m.table.members)+1)
	sorted = append(sorted, m.table.self)
	for name, member := range m.table.members {
		if name != m.table.self.Name {
			sorted = append(sorted, member.Member)
		}
	}
	slices.SortFunc(sorted, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	m.sortedMembers = sorted
	m.createLimiter.SetLimit(rate.Limit(m.config.FleetWriteRate / float64(len(sorted))))
}

// Owner implements View.
func (m *Manager) Owner(kind Kind, id string) (Owner, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := m.table.resources[resourceKey{kind, id}]
	if s == nil || s.owner.Member == "" {
		return Owner{}, false
	}
	return s.owner.Owner, true
}

// Holds implements View.
func (m *Manager) Holds(kind Kind, id string) (Token, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := m.table.resources[resourceKey{kind, id}]
	if s == nil || s.phase != held {
		return 0, false
	}
	return s.token, m.validity.validAt(m.instant())
}

// LeaseValid implements View.
func (m *Manager) LeaseValid() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.validity.validAt(m.instant())
}

// Lease returns the daemon's current lease and the create revision of its
// member key; both are 0 while there is none.
func (m *Manager) Lease() (infra.LeaseID, int64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table.incarnation.lease, m.table.incarnation.revision
}

// Release gives up a resource: Holds becomes false, the listener is notified of
// the loss, and then the key is deleted if it is still this daemon's. It returns
// when the key is deleted, or with the error of ctx; the release continues in
// that case. A resource that is not held is no error.
func (m *Manager) Release(ctx context.Context, kind Kind, id string) error {
	var releaseDone chan struct{}
	m.update(func(time.Time) { releaseDone = m.table.requestRelease(resourceKey{kind, id}) })
	if releaseDone == nil {
		return nil
	}
	select {
	case <-releaseDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// randomBetween returns a random duration from low up to high.
func (m *Manager) randomBetween(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return low + time.Duration(m.random.Int64N(int64(high-low)))
}

// firstRetryDelay is the longest delay before the first retry of a failed call.
const firstRetryDelay = 200 * time.Millisecond

// backoff returns the retry delay after a number of consecutive failures: it
// doubles with each, up to the renewal interval, and half of it is random.
func (m *Manager) backoff(failures int) time.Duration {
	limit := firstRetryDelay << min(failures, 10)
	limit = min(limit, m.config.RenewInterval)
	return m.randomBetween(limit/2, limit)
}
