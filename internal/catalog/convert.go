package catalog

import (
	"strings"
	"time"

	"github.com/barleylift/barleylift/internal/profile"
)

// convert appends the items of one file to the contents and applies defaults.
func (l *loader) convert(f file) {
	for _, z := range f.Zones {
		l.contents.Zones = append(l.contents.Zones, Zone(z))
		l.recordOrigin(KindZone, z.Name)
	}
	for _, e := range f.Engines {
		l.engine(e)
	}
	for _, s := range f.Services {
		l.service(s)
	}
	for _, r := range f.Routes {
		l.route(r)
	}
	for _, a := range f.Adapters {
		l.contents.Adapters = append(l.contents.Adapters, Adapter(a))
		l.recordOrigin(KindAdapter, a.Name)
	}
	for _, set := range f.AdapterSets {
		l.adapterSet(set)
	}
	for _, p := range f.Profiles {
		l.profile(p)
	}
	for _, c := range f.Customers {
		l.customer(c)
	}
	for _, w := range f.WeightStores {
		l.weightStore(w)
	}
}

func (l *loader) recordOrigin(kind Kind, name string) {
	l.contents.origins.add(kind, name, l.file)
}

func (l *loader) addProblem(kind Kind, name, key, reason string) {
	l.problems = append(l.problems, Problem{l.file, field(kind, name, key), reason})
}

// duration parses the value of a key; an empty or invalid one gives the fallback.
func (l *loader) duration(kind Kind, name, key, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		l.addProblem(kind, name, key, `want a duration such as "9ms" or "30s", got "`+text+`"`)
		return fallback
	}
	return value
}

func (l *loader) engine(e fileEngine) {
	l.contents.Engines = append(l.contents.Engines, Engine{
		Name:            e.Name,
		Address:         strings.TrimSuffix(e.Address, "/"),
		Zone:            e.Zone,
		BaseModel:       e.BaseModel,
		WeightStore:     e.WeightStore,
		Slots:           e.Slots,
		MaxRunning:      e.MaxRunning,
		ChecksFencing:   e.ChecksFencing,
		ResumesStreams:  e.ResumesStreams,
		HonoursPriority: e.HonoursPriority,
		MaxReportLag:    l.duration(KindEngine, e.Name, "max_report_lag", e.MaxReportLag, DefaultMaxReportLag),
		Leaving:         e.Leaving,
	})
	l.recordOrigin(KindEngine, e.Name)
}

func (l *loader) service(s fileService) {
	service := Service{Name: s.Name}
	for _, r := range s.Replicas {
		r.Address = strings.TrimSuffix(r.Address, "/")
		service.Replicas = append(service.Replicas, Replica(r))
	}
	l.contents.Services = append(l.contents.Services, service)
	l.recordOrigin(KindService, s.Name)
}

func (l *loader) route(r fileRoute) {
	if r.Repeatable == nil {
		l.addProblem(KindRoute, r.Name, "repeatable", "required: true when a call may be sent more than once, else false")
	}
	route := Route{
		Name:              r.Name,
		Pattern:           r.Pattern,
		Service:           r.Service,
		Repeatable:        valueOr(r.Repeatable, false),
		IdempotencyHeader: r.IdempotencyHeader,
		Timeout:           l.duration(KindRoute, r.Name, "timeout", r.Timeout, DefaultRouteTimeout),
		MaxBody:           valueOr(r.MaxBody, DefaultRouteMaxBody),
	}
	retention := time.Duration(0)
	if route.IdempotencyHeader != "" {
		retention = DefaultRetention
	}
	route.Retention = l.duration(KindRoute, r.Name, "retention", r.Retention, retention)
	l.contents.Routes = append(l.contents.Routes, route)
	l.recordOrigin(KindRoute, r.Name)
}

func (l *loader) adapterSet(set fileAdapterSet) {
	for _, text := range set.Adapters {
		name, versions, ok := strings.Cut(text, "@")
		if !ok {
			l.addProblem(KindAdapter, text, "adapter_set.adapters", "want name@version or name@version,version")
			continue
		}
		l.contents.Adapters = append(l.contents.Adapters, Adapter{
			Name: name, BaseModel: set.BaseModel, Versions: strings.Split(versions, ","),
		})
		l.recordOrigin(KindAdapter, name)
	}
}

func (l *loader) profile(p fileProfile) {
	urgency, ok := profile.ParseUrgency(p.Urgency)
	if !ok && p.Urgency != "" {
		l.addProblem(KindProfile, p.Name, "urgency", `want background, normal, high or critical, got "`+p.Urgency+`"`)
	}
	l.contents.Profiles = append(l.contents.Profiles, profile.Profile{
		Name:            p.Name,
		Urgency:         urgency,
		DelayTolerance:  l.duration(KindProfile, p.Name, "delay_tolerance", p.DelayTolerance, DefaultDelayTolerance),
		Adapters:        p.Adapters,
		Versions:        p.Versions,
		MaxInFlight:     p.MaxInFlight,
		TokensPerSecond: p.TokensPerSecond,
	})
	l.recordOrigin(KindProfile, p.Name)
}

func (l *loader) customer(c fileCustomer) {
	l.contents.Customers = append(l.contents.Customers, Customer{
		Name:        c.Name,
		TokenHashes: c.TokenHashes,
		Profiles:    c.Profiles,
		Weight:      valueOr(c.Weight, DefaultWeight),
	})
	l.recordOrigin(KindCustomer, c.Name)
}

func (l *loader) weightStore(w fileWeightStore) {
	l.contents.WeightStores = append(l.contents.WeightStores, WeightStore{
		Name:           w.Name,
		LoadsPerSecond: w.LoadsPerSecond,
		Concurrent:     valueOr(w.Concurrent, DefaultConcurrent),
	})
	l.recordOrigin(KindWeightStore, w.Name)
}
