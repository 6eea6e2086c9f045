package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// ServerName is the DNS name in every daemon's certificate, since the IP addresses
// of VMs change.
const ServerName = "peer.barleylift"

// protocolName is the ALPN identifier of the protocol between daemons.
const protocolName = "barleylift/1"

// LoadTLS reads a daemon's certificate and key, and the certificates of the
// authority that signs all daemons' certificates. Errors name the file.
func LoadTLS(certFile, keyFile, authorityFile string) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("peer certificate %s: %w", certFile, err)
	}
	authority, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("peer authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("peer authority %s: no certificate found", authorityFile)
	}
	return NewTLS(certificate, pool), nil
}

// NewTLS returns the TLS configuration for clients and servers: each side presents
// its certificate and requires one that the authority signed.
func NewTLS(certificate tls.Certificate, authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
		NextProtos:   []string{protocolName},
		MinVersion:   tls.VersionTLS13,
	}
}

func identityOf(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("no peer certificate")
	}
	return Identity{Name: state.PeerCertificates[0].Subject.CommonName}, nil
}
