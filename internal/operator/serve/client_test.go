package serve_test

import "net/http"

// headerClient adds the headers of a program's call to every request.
type headerClient struct {
	headers map[string]string
}

// Do adds the headers and sends the request.
func (c *headerClient) Do(r *http.Request) (*http.Response, error) {
	for name, value := range c.headers {
		r.Header.Set(name, value)
	}
	return http.DefaultClient.Do(r)
}
