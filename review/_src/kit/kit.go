// Package kit has the stand-ins and the process control of the review's scripts: a small
// deployment of the project's daemons on loopback addresses, with replicas of a plain service,
// the platform's store and clients on kept channels.
package kit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/barleylift/barleylift/platform/standin"
)

// Bounds of the settings, as in the site files cragbook-kochi and pixelgate-tw.
const (
	DrainTime   = 2000 * time.Millisecond
	Heartbeat   = 1200 * time.Millisecond
	StableTime  = 3000 * time.Millisecond
	settingsFmt = `node_name = %q
role = "gateway"
machine_class = "front"
serves = ["front","control","directory"]
ip = %q
zone = "z"
region = "r"
internal_ports = [7380,7395]
seeds = []
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[listen]
front = "%[2]s:8149"
ready = "%[2]s:8141"
control = "%[2]s:8144"
directory = "%[2]s:8143"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
recovery_s = 12
lease_ms = 3000
ttl_max_s = 5
[platform]
address = %[3]q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`
)

// Record writes the lines of record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(dir string) (*Record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	return &Record{file: file, began: time.Now()}, err
}

// Line writes a line with the time since the start, in milliseconds.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f ms  %s\n", float64(time.Since(r.began).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Deployment is a running deployment.
type Deployment struct {
	Record  *Record
	Store   *standin.Store
	Daemons []*Daemon
	// Watches are the store's watch requests that wait.
	Watches *Watches
	// IP begins all addresses of the deployment.
	network string
	dir     string
	hosts   int
	servers []*http.Server
}

// NewDeployment starts the store. record.txt is written to dir.
func NewDeployment(dir string) (*Deployment, error) {
	record, err := NewRecord(dir)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Record: record, Store: standin.NewStore(), Watches: newWatches(), dir: temp,
		network: fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), rand.IntN(250)),
	}
	return d, nil
}

// StartStore serves the store and returns its address.
func (d *Deployment) StartStore() (string, error) {
	return d.Serve(d.Watches.wrap(d.Store.Handler()))
}

// NewIP returns a loopback address that the deployment doesn't use yet.
func (d *Deployment) NewIP() string {
	d.hosts++
	return fmt.Sprintf("%s.%d", d.network, d.hosts)
}

// Serve serves a handler at a new address.
func (d *Deployment) Serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", d.NewIP()+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Close ends all processes and servers.
func (d *Deployment) Close() {
	for _, daemon := range d.Daemons {
		daemon.Kill()
	}
	for _, server := range d.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// Daemon is one process of the project's program.
type Daemon struct {
	Name     string
	IP       string
	settings string
	binary   string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// Entry is the address for clients.
func (d *Daemon) Entry() string { return d.IP + ":8149" }

// StartDaemon starts the program as the deploy file says; the metrics page is bound to the
// machine's own address, as all machines share one host here.
func (d *Deployment) StartDaemon(binary, store string) (*Daemon, error) {
	daemon := &Daemon{Name: fmt.Sprintf("front-%d", len(d.Daemons)+1), IP: d.NewIP(), binary: binary}
	daemon.settings = filepath.Join(d.dir, daemon.Name+".toml")
	if err := os.WriteFile(daemon.settings, fmt.Appendf(nil, settingsFmt, daemon.Name, daemon.IP, store), 0o600); err != nil {
		return nil, err
	}
	path := filepath.Join(d.dir, daemon.Name+".log")
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		path = filepath.Join(keep, daemon.Name+".log")
	}
	var err error
	if daemon.log, err = os.Create(path); err != nil {
		return nil, err
	}
	d.Daemons = append(d.Daemons, daemon)
	return daemon, daemon.Start()
}

// Start starts a process.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	command := exec.Command(d.binary, "gateway", "--metrics", d.IP+":9464")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BARLEYLIFT_BOOT=" + d.settings}
	command.Stdout, command.Stderr = d.log, d.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.command, d.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal unless the process has exited.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil {
		return // it could not be started
	}
	select {
	case <-d.exited:
	default:
		_ = d.command.Process.Signal(s)
	}
}

// Exited reports whether the process has ended.
func (d *Daemon) Exited() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// PID is the process's identifier.
func (d *Daemon) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command.Process.Pid
}

// Await waits until the process has ended.
func (d *Daemon) Await() {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Kill ends the process.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGCONT)
	d.Signal(syscall.SIGKILL)
	d.Await()
}

// AwaitReady waits until all daemons answer their readiness checks with 200.
func (d *Deployment) AwaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(within)
	for _, daemon := range d.Daemons {
		for {
			response, err := client.Get("http://" + daemon.IP + ":8141/-/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %v", daemon.Name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Watches holds the watch requests that wait at the store. It can cut them.
type Watches struct {
	mu      sync.Mutex
	waiting map[chan struct{}]bool
}

func newWatches() *Watches { return &Watches{waiting: make(map[chan struct{}]bool)} }

// Cut closes the channels of all watch requests that wait now, without an answer, and returns
// their number.
func (w *Watches) Cut() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.waiting)
	for cut := range w.waiting {
		close(cut)
	}
	clear(w.waiting)
	return n
}

// wrap lets watch requests be cut while they wait.
func (w *Watches) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/-/kv-watch" {
			next.ServeHTTP(rw, r)
			return
		}
		cut := make(chan struct{})
		w.mu.Lock()
		w.waiting[cut] = true
		w.mu.Unlock()
		buffer := &buffered{header: make(http.Header), status: http.StatusOK}
		done := make(chan any, 1)
		go func() {
			defer func() { done <- recover() }()
			next.ServeHTTP(buffer, r)
		}()
		select {
		case <-cut:
			panic(http.ErrAbortHandler)
		case failure := <-done:
			w.mu.Lock()
			delete(w.waiting, cut)
			w.mu.Unlock()
			if failure != nil {
				panic(failure)
			}
		}
		for name, values := range buffer.header {
			rw.Header()[name] = values
		}
		rw.WriteHeader(buffer.status)
		_, _ = rw.Write(buffer.body)
	})
}

type buffered struct {
	header http.Header
	status int
	body   []byte
}

func (b *buffered) Header() http.Header { return b.header }
func (b *buffered) WriteHeader(s int)   { b.status = s }
func (b *buffered) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

// Must encodes a value as JSON.
func Must(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
