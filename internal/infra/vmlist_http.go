package infra

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// maxVMListBytes bounds the platform's list of VMs.
const maxVMListBytes = 16 << 20

// VMListClient fetches the list of VMs as Prometheus HTTP service discovery
// JSON with the labels "zone" and "state". It is safe for concurrent use.
type VMListClient struct {
	url    string
	client *http.Client
}

var _ VMList = (*VMListClient)(nil)

// targetGroup is one element of the service discovery document.
type targetGroup struct {
	Targets []string     `json:"targets"`
	Labels  targetLabels `json:"labels"`
}

type targetLabels struct {
	Zone  string  `json:"zone"`
	State VMState `json:"state"`
}

// NewVMListClient returns a client for the list at the URL, or an error that
// names the invalid field. A nil client means http.DefaultClient.
func NewVMListClient(address string, client *http.Client) (*VMListClient, error) {
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("url: %q is not an HTTP URL", address)
	}
	if client == nil {
		client = http.DefaultClient
	}
	return &VMListClient{url: address, client: client}, nil
}

// VMs implements VMList. A VM without a state is live. An unknown state makes
// the whole read fail, so that a leaving VM is never mistaken for a live one.
func (c *VMListClient) VMs(ctx context.Context) ([]VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	request.Header.Set("Accept", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("VM list: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxVMListBytes+1))
	if err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	if len(body) > maxVMListBytes {
		return nil, errors.New("VM list: response is too large")
	}
	return parseVMList(body)
}

func parseVMList(body []byte) ([]VM, error) {
	var groups []targetGroup
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	var vms []VM
	for _, group := range groups {
		state := group.Labels.State
		if state == "" {
			state = VMLive
		}
		if state != VMLive && state != VMLeaving {
			return nil, fmt.Errorf("VM list: unknown state %q", state)
		}
		for _, target := range group.Targets {
			vms = append(vms, VM{Address: target, Zone: group.Labels.Zone, State: state})
		}
	}
	return vms, nil
}
