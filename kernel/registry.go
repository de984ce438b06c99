package kernel

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Registry maps names to the plug-ins of one kind; its zero value is empty and ready to use.
type Registry[T any] struct {
	mu      sync.RWMutex
	plugins map[string]T
}

// Register adds a plug-in and panics if the name is already registered; init functions call it.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.plugins[name]; ok {
		panic("plug-in " + name + " is registered twice")
	}
	if r.plugins == nil {
		r.plugins = map[string]T{}
	}
	r.plugins[name] = plugin
}

// Lookup returns the plug-in registered under name, or an error that lists the registered names.
func (r *Registry[T]) Lookup(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.plugins[name]
	if !ok {
		return plugin, fmt.Errorf("unknown plug-in %q: use one of %s", name, strings.Join(r.names(), ", "))
	}
	return plugin, nil
}

// Names returns the registered names in ascending order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.plugins))
	for name := range r.plugins {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
