package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

const (
	callTimeout  = 3 * time.Second
	watchWait    = time.Second
	watchTimeout = 1750 * time.Millisecond
)

// Client is a client of the product's own service at one address.
type Client struct {
	client *JSONClient
}

// New returns a client of the service at an IP address and port.
func New(address string, dialer hawthornrail.Dialer) *Client {
	return &Client{client: NewJSONClient(address, dialer)}
}

// Listing is a set of objects at a revision.
type Listing struct {
	Objects  []objects.Object `json:"objects"`
	Revision uint64           `json:"revision"`
}

// List returns all objects of a kind, or of every kind.
func (c *Client) List(ctx context.Context, kind string) (Listing, error) {
	path := "/v1/objects"
	if kind != "" {
		path += "/" + url.PathEscape(kind)
	}
	var listing Listing
	err := c.client.Do(ctx, callTimeout, http.MethodGet, path, nil, &listing)
	return listing, err
}

// Watch waits for objects changed after a revision; it may return none.
func (c *Client) Watch(ctx context.Context, since uint64) (Listing, error) {
	var listing Listing
	err := c.client.Do(ctx, watchTimeout, http.MethodGet, fmt.Sprintf("/v1/watch?since=%d&wait_ms=%d", since, watchWait.Milliseconds()), nil, &listing)
	return listing, err
}

// Read returns an object.
func (c *Client) Read(ctx context.Context, kind, name string) (objects.Object, error) {
	var o objects.Object
	err := c.client.Do(ctx, callTimeout, http.MethodGet, objectPath(kind, name), nil, &o)
	return o, err
}

// Write stores a value if the object is at version ifVersion; 0 means that the
// object does not exist.
func (c *Client) Write(ctx context.Context, kind, name string, ifVersion uint64, value any) (objects.Object, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return objects.Object{}, fmt.Errorf("encode %s/%s: %w", kind, name, err)
	}
	var o objects.Object
	path := fmt.Sprintf("%s?if_version=%d", objectPath(kind, name), ifVersion)
	err = c.client.Do(ctx, callTimeout, http.MethodPut, path, body, &o)
	return o, err
}

// Delete removes an object if it is at version ifVersion.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) (objects.Object, error) {
	var o objects.Object
	path := fmt.Sprintf("%s?if_version=%d", objectPath(kind, name), ifVersion)
	err := c.client.Do(ctx, callTimeout, http.MethodDelete, path, nil, &o)
	return o, err
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
