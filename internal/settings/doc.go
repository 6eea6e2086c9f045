// Package settings loads and validates the TOML settings of one daemon: its name,
// addresses, availability zone, certificates, limits and connection to the
// platform.
package settings
