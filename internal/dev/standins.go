package dev

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/template"

	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/peer"
)

// Modes of the written certificate and key files.
const (
	publicMode = 0o644
	secretMode = 0o600
)

// settingsTemplate is the template of a daemon's settings file.
var settingsTemplate = template.Must(template.New("settings").Parse(`name = "{{.Name}}"
zone = "{{.Zone}}"
region = "{{.Region}}"

[entry]
listen = "127.0.0.1:{{.Port}}"

[peer]
listen = "127.0.0.1:{{.Port}}"
tls_cert = "{{.Dir}}/{{.Name}}.crt"
tls_key = "{{.Dir}}/{{.Name}}.key"
tls_ca = "{{.Dir}}/authority.crt"

[admin]
listen = "127.0.0.1:{{.AdminPort}}"

[key_value]
endpoints = ["{{.KeyValue}}"]

[vm_list]
url = "{{.VMList}}"

[drain]
answer_keep = "2s"
`))

// settingsValues holds the values of settingsTemplate.
type settingsValues struct {
	Name, Zone, Region, Dir, KeyValue, VMList string
	Port, AdminPort                           int
}

// firstPort is the entry and peer port in the settings of the first daemon.
const firstPort = 18100

// adminPortOffset is the difference between a daemon's admin port and entry port.
const adminPortOffset = 100

// RunStandIns starts the stand-ins, writes the settings and certificates of three
// daemons to a directory, and runs until ctx ends. The user starts the daemons as
// separate processes.
func RunStandIns(ctx context.Context, dir string, out io.Writer) error {
	c := &Cluster{options: Options{}.withDefaults(), KV: fake.NewKV(), VMs: fake.NewVMList()}
	defer c.stopStandIns()
	authority, err := fake.NewAuthority()
	if err != nil {
		return err
	}
	c.authority = authority
	if err := c.startStandIns(); err != nil {
		return err
	}
	c.SetVMs()
	if _, err := catalog.Apply(ctx, c.KV, c.Contents, nil); err != nil {
		return err
	}
	if err := c.writeSettings(dir); err != nil {
		return err
	}
	fmt.Fprintln(out, "token:", Token)
	fmt.Fprintln(out, "key-value service:", c.kvURL)
	for _, zone := range zoneNames {
		fmt.Fprintf(out, "barleylift serve --settings %s\n", filepath.Join(dir, daemonName(zone)+".toml"))
	}
	<-ctx.Done()
	return nil
}

func daemonName(zone string) string {
	return "entry-" + zone
}

func (c *Cluster) writeSettings(dir string) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	authority := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.authority.Certificate()})
	if err := os.WriteFile(filepath.Join(dir, "authority.crt"), authority, publicMode); err != nil {
		return err
	}
	for i, zone := range zoneNames {
		values := settingsValues{
			Name: daemonName(zone), Zone: zone, Region: Region, Dir: dir, KeyValue: c.kvURL, VMList: c.vmURL,
			Port: firstPort + i, AdminPort: firstPort + adminPortOffset + i,
		}
		if err := c.writeDaemonFiles(values); err != nil {
			return err
		}
	}
	return nil
}

// writeDaemonFiles writes the settings, certificate and key of one daemon.
func (c *Cluster) writeDaemonFiles(v settingsValues) error {
	certificate, err := c.authority.Issue(v.Name, peer.ServerName)
	if err != nil {
		return err
	}
	if err := writeKeyPair(filepath.Join(v.Dir, v.Name), certificate); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(v.Dir, v.Name+".toml"))
	if err != nil {
		return err
	}
	if err := settingsTemplate.Execute(file, v); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// writeKeyPair writes a certificate to base.crt and its key to base.key.
func writeKeyPair(base string, certificate tls.Certificate) error {
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	if err != nil {
		return err
	}
	public := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate.Certificate[0]})
	if err := os.WriteFile(base+".crt", public, publicMode); err != nil {
		return err
	}
	secret := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})
	return os.WriteFile(base+".key", secret, secretMode)
}
