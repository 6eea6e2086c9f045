package gateway

import (
	"fmt"
	"net/netip"
	"reflect"
	"time"
)

// Settings are one daemon's settings.
type Settings struct {
	VM     string
	Zone   string
	Region string
	// Entry is the address for callers' requests, Directory the address at which
	// they look up entries, and Readiness the one for the platform's checks.
	Entry     netip.AddrPort
	Directory netip.AddrPort
	Readiness netip.AddrPort
	// Status is the address of the operators' status page; invalid for none.
	Status netip.AddrPort
	// Mesh is this daemon's address for datagrams of other daemons.
	Mesh     netip.AddrPort
	Store    netip.AddrPort
	MemoryMB int
	// FirstStart is set when the whole fleet starts for the first time: there were no requests
	// before.
	FirstStart bool
	// Cores is the processor time that this VM may use, in cores; 0 if unknown.
	Cores float64
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// QuietTime is how long an engine must have received no order before another
	// daemon may send it one.
	QuietTime time.Duration
	Budget    BudgetSettings
	// MaxStaleness bounds the time until a change of the key-value service is in
	// force.
	MaxStaleness time.Duration
	// MaxAnswerAge bounds how long callers keep an answer of the directory; 0 for
	// no bound.
	MaxAnswerAge time.Duration
	// MinLeaseTTL is the minimum time to live of a lease.
	MinLeaseTTL time.Duration
	// RevocationBound is the time after the acknowledgement of a configuration without an
	// API key from which on no request with the key may run; 0 if that is not strict.
	RevocationBound time.Duration
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound what customers with a quota use: in
	// each window (rate x window + burst) x (1 + overshoot) + slack; all are 0 if not
	// stated.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
}

// BudgetSettings bound the retries of all daemons to one service.
type BudgetSettings struct {
	// Ratio is the number of retries for each request within Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of retries within Window beyond the ratio.
	Slack float64
}

// SettingError reports an invalid setting.
type SettingError struct {
	Setting string
	Reason  string
}

// Error names the setting and the reason.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: %s", e.Setting, e.Reason)
}

// Check returns a *SettingError for the first invalid setting.
func (s Settings) Check() error {
	switch {
	case s.VM == "":
		return &SettingError{"VM", "is missing"}
	case s.Grace <= 0:
		return &SettingError{"Grace", "must be positive"}
	case s.QuietTime <= 0:
		return &SettingError{"QuietTime", "must be positive"}
	case s.MaxStaleness <= 0:
		return &SettingError{"MaxStaleness", "must be positive"}
	case s.RevocationBound < 0:
		return &SettingError{"RevocationBound", "must not be negative"}
	case s.QuotaWindow < 0 || s.QuotaOvershoot < 0 || s.QuotaSlack < 0:
		return &SettingError{"QuotaWindow, QuotaOvershoot, QuotaSlack", "must not be negative"}
	case s.Budget.Ratio < 0 || s.Budget.Ratio > 1:
		return &SettingError{"Budget.Ratio", "must be from 0 to 1"}
	case s.Budget.Window <= 0:
		return &SettingError{"Budget.Window", "must be positive"}
	}
	return nil
}

// equal reports whether two settings are the same.
func (s Settings) equal(other Settings) bool {
	return reflect.DeepEqual(s, other)
}
