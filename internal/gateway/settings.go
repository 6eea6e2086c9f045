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
	// Entry is where callers send requests, Directory where they ask for
	// entries, and Readiness where the platform checks this daemon.
	Entry     netip.AddrPort
	Directory netip.AddrPort
	Readiness netip.AddrPort
	// Status is where operators ask for the daemon's state; invalid for none.
	Status netip.AddrPort
	// Mesh is this daemon's address for datagrams of other daemons.
	Mesh     netip.AddrPort
	Store    netip.AddrPort
	MemoryMB int
	// Cores is the processor time that this VM may use, in cores; 0 if unknown.
	Cores float64
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// QuietTime is how long an engine must have got no order before another
	// daemon may order it.
	QuietTime time.Duration
	Budget    BudgetSettings
	// MaxStaleness is how soon a change of the key-value service must be in force.
	MaxStaleness time.Duration
	// MaxAnswerAge bounds how long callers keep an answer about entries.
	MaxAnswerAge time.Duration
	// MinLeaseTTL is the shortest time to live of a lease.
	MinLeaseTTL time.Duration
}

// BudgetSettings bound the repeated sends of all daemons to one service.
type BudgetSettings struct {
	// Share is the number of repeated sends for each request within Window.
	Share  float64
	Window time.Duration
	// Slack is the number of repeated sends within Window beyond the share.
	Slack float64
}

// SettingError tells which setting is at fault.
type SettingError struct {
	Setting string
	Reason  string
}

// Error names the setting and the reason.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: %s", e.Setting, e.Reason)
}

// Check returns a *SettingError for the first setting that can't be used.
func (s Settings) Check() error {
	switch {
	case s.VM == "":
		return &SettingError{"VM", "is missing"}
	case s.Grace <= 0:
		return &SettingError{"Grace", "must be positive"}
	case s.QuietTime <= 0:
		return &SettingError{"Quiet", "must be positive"}
	case s.MaxStaleness <= 0:
		return &SettingError{"UpToDate", "must be positive"}
	case s.Budget.Share < 0 || s.Budget.Share > 1:
		return &SettingError{"Budget.Share", "must be from 0 to 1"}
	case s.Budget.Window <= 0:
		return &SettingError{"Budget.Window", "must be positive"}
	}
	return nil
}

// equal reports whether two settings are the same.
func (s Settings) equal(other Settings) bool {
	return reflect.DeepEqual(s, other)
}
