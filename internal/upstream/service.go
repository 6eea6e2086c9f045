package upstream

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/infra"
)

// ServiceClientConfig holds the dependencies of a ServiceClient.
type ServiceClientConfig struct {
	// Zone is this daemon's availability zone.
	Zone string
	Log  *slog.Logger
	// Now returns the time for selecting replicas; nil for time.Now.
	Now func() time.Time
}

// ServiceClient is the client of all plain services. It is safe for concurrent
// use.
type ServiceClient struct {
	zone string
	log  *slog.Logger
	now  func() time.Time

	// mu guards the fields below, which Apply and ApplyVMs replace. It is
	// never held during I/O.
	mu         sync.RWMutex
	snapshot   *catalog.Snapshot
	routes     map[string]catalog.Route
	services   map[string][]serviceReplica
	replicas   map[string]*replica
	leavingVMs map[string]bool
}

// NewServiceClient returns a client without services; Apply adds them.
func NewServiceClient(config ServiceClientConfig) (*ServiceClient, error) {
	if config.Log == nil {
		return nil, errors.New("upstream: Log is missing")
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &ServiceClient{
		zone:     config.Zone,
		log:      config.Log.With("part", "services"),
		now:      config.Now,
		replicas: make(map[string]*replica),
	}, nil
}

// Apply replaces the services and routes by those of a snapshot. Calls in
// flight finish on the replicas that they were sent to.
func (s *ServiceClient) Apply(snapshot *catalog.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = snapshot
	s.routes = make(map[string]catalog.Route, len(snapshot.Routes))
	for _, route := range snapshot.Routes {
		s.routes[route.Name] = route
	}
	s.rebuild()
}

// ApplyVMs updates the set of leaving VMs from the platform's VM list.
func (s *ServiceClient) ApplyVMs(vms []infra.VM) {
	leaving := make(map[string]bool)
	for _, vm := range vms {
		if vm.State == infra.VMLeaving {
			leaving[vm.Address] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavingVMs = leaving
	if s.snapshot != nil {
		s.rebuild()
	}
}

// Close closes the idle connections to all replicas.
func (s *ServiceClient) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicas {
		r.pooledTransport.CloseIdleConnections()
	}
}

// rebuild recomputes the replicas of each service. The caller must hold mu for
// writing.
func (s *ServiceClient) rebuild() {
	services := make(map[string][]serviceReplica, len(s.snapshot.Services))
	replicas := make(map[string]*replica)
	for _, service := range s.snapshot.Services {
		for _, configured := range service.Replicas {
			r, err := s.replica(configured.Address)
			if err != nil {
				s.log.Error("skipping a replica with an invalid address", "service", service.Name, "error", err)
				continue
			}
			replicas[configured.Address] = r
			services[service.Name] = append(services[service.Name], serviceReplica{
				replica:  r,
				distance: s.distance(configured.Zone),
				leaving:  configured.Leaving || s.leavingVMs[hostPort(r.baseURL)],
			})
		}
	}
	for address, r := range s.replicas {
		if replicas[address] == nil {
			r.pooledTransport.CloseIdleConnections()
		}
	}
	s.services = services
	s.replicas = replicas
}

func (s *ServiceClient) replica(address string) (*replica, error) {
	if r := s.replicas[address]; r != nil {
		return r, nil
	}
	return newReplica(address)
}

func (s *ServiceClient) distance(zone string) int {
	if zone == s.zone {
		return sameZone
	}
	own, ownFound := s.snapshot.Zone(s.zone)
	other, otherFound := s.snapshot.Zone(zone)
	if ownFound && otherFound && own.Region == other.Region {
		return sameRegion
	}
	return otherRegion
}

// hostPort returns the replica's address in the form that the VM list uses.
func hostPort(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	if u.Scheme == "https" {
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}

// pickReplica returns the replica for the next attempt at a service.
func (s *ServiceClient) pickReplica(service string, tried []string) (*replica, error) {
	s.mu.RLock()
	replicas := s.services[service]
	s.mu.RUnlock()
	r, ok := chooseReplica(replicas, tried, s.now())
	if !ok {
		return nil, fmt.Errorf("service %q: no replica is left to try", service)
	}
	return r, nil
}

func (s *ServiceClient) route(name string) (catalog.Route, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	route, ok := s.routes[name]
	return route, ok
}
