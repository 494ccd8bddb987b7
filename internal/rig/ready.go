package rig

import (
	"context"
	"net/http"
)

// ready is whether a sidecar's HTTP side says that it has an endpoint list.
func ready(address string) bool {
	transport := &http.Transport{DisableKeepAlives: true}
	url := "http://" + address + "/health/ready"
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
