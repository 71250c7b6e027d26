package hawthornrail_test

import (
	"testing"

	hawthornrail "hawthornrail.example/hawthornrail"
)

func assertRoute(t *testing.T, table *hawthornrail.RouteTable, host, path, want string) {
	t.Helper()
	r, ok := table.Find(host, path)
	if ok != (want != "") || r.Name() != want {
		t.Errorf("%s%s matches %q, want %q", host, path, r.Name(), want)
	}
}

func TestRouteTable(t *testing.T) {
	route := func(name, host, prefix string) hawthornrail.Route {
		return hawthornrail.NewRoute(name, host, prefix, hawthornrail.NonIdempotentRoute, nil)
	}
	table := hawthornrail.NewRouteTable([]hawthornrail.Route{
		route("root", "a", "/"), route("short", "a", "/x/"), route("long", "a", "/x/y/"), route("other", "b", "/x/"),
	})
	t.Run("longest prefix wins", func(t *testing.T) { assertRoute(t, table, "a", "/x/y/z", "long") })
	t.Run("prefix ends with a slash", func(t *testing.T) { assertRoute(t, table, "a", "/x/yz", "short") })
	t.Run("prefix itself", func(t *testing.T) { assertRoute(t, table, "a", "/x/y/", "long") })
	t.Run("root", func(t *testing.T) { assertRoute(t, table, "a", "/q", "root") })
	t.Run("other host", func(t *testing.T) { assertRoute(t, table, "b", "/x/q", "other") })
	t.Run("no route at the host", func(t *testing.T) { assertRoute(t, table, "b", "/q", "") })
	t.Run("unknown host", func(t *testing.T) { assertRoute(t, table, "c", "/x/q", "") })
}
