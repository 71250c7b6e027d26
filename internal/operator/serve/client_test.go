package serve_test

import "net/http"

// withHeaders adds the headers of a program's call to an ordinary client.
type withHeaders struct {
	headers map[string]string
}

// Do sends the request with the headers.
func (c *withHeaders) Do(r *http.Request) (*http.Response, error) {
	for name, value := range c.headers {
		r.Header.Set(name, value)
	}
	return http.DefaultClient.Do(r)
}
