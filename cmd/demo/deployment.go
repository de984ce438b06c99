package main

import (
	"strings"
	"time"

	"lovagelane/standin"
	"lovagelane/testbed"
)

const serviceTimeFlag = "--service-time=20ms"

// services returns the demo's deployment: the services of Restinga Viva Plantios with few slots, so that one computer can
// overload them. An order for seedlings passes through three services: nursery, imagery (proof of the plot) and payments
// (hold on the account).
func services() []testbed.Service {
	return []testbed.Service{
		{Name: "payments", Zones: []string{"rn-1", "rn-2"}, Slots: 4, Connections: 200, Timeout: time.Second,
			BackendFlags: []string{serviceTimeFlag}},
		{Name: "imagery", Zones: []string{"rn-1", "rn-2", "ce-1"}, Slots: 4, Connections: 200, Timeout: time.Second,
			Calls: []string{"payments"}, BackendFlags: []string{serviceTimeFlag, "--call", "/proofs=payments:POST:/holds"}},
		{Name: "nursery", Zones: []string{"rn-1", "rn-2"}, Slots: 4, Connections: 200, Timeout: time.Second,
			Calls: []string{"imagery"}, BackendFlags: []string{serviceTimeFlag, "--call", "/orders=imagery:POST:/proofs"}},
		{Name: "maps", Zones: []string{"rn-1", "rn-2", "ce-1"}, Slots: 4, Connections: 200, Timeout: time.Second,
			Calls: []string{"imagery"}, BackendFlags: []string{serviceTimeFlag, "--call", "/maps/natal=imagery:GET:/tiles"}},
	}
}

const rules = `[class payments]
rank = 1

[class orders]
rank = 2

[class uploads]
rank = 4

[class lookups]
rank = 6
default = yes

[class map-reloads]
rank = 8

[class background]
rank = 10

[request pay-carrier]
service = payments
method = POST
path = /payments
class = payments
non-idempotent = yes

[request hold]
service = payments
method = POST
path = /holds
class = payments
non-idempotent = yes

[request order-seedlings]
service = nursery
method = POST
path = /orders
class = orders
non-idempotent = yes

[request proof]
service = imagery
method = POST
path = /proofs
class = orders
non-idempotent = yes

[request upload-photograph]
service = imagery
method = PUT
path = /photographs
class = uploads

[request stock]
service = nursery
method = GET
path = /stock
class = lookups

[request reload-map]
service = maps
method = GET
path = /maps/*
class = map-reloads

[request weather]
service = maps
method = GET
path = /weather
class = background
`

// rulesWithWeatherMoved returns the rules with weather requests in class lookups, which is shed later than map reloads.
func rulesWithWeatherMoved() string {
	return strings.Replace(rules, "path = /weather\nclass = background", "path = /weather\nclass = lookups", 1)
}

const (
	kindPayments = "pay-carrier"
	kindOrders   = "order-seedlings"
	kindUploads  = "upload-photograph"
	kindStock    = "stock"
	kindMaps     = "reload-map"
	kindWeather  = "weather"
)

// kind describes one kind of request with its class and rates.
type kind struct {
	name, class, method, path string
	nonIdempotent             bool
	// usualRate and overloadRate are in requests a second. During overload, maps and imagery receive three times their
	// capacity, while payments and orders alone fit the capacity.
	usualRate, overloadRate float64
}

var kinds = []kind{
	{kindPayments, "payments", "POST", "/payments/payments", true, 20, 40},
	{kindOrders, "orders", "POST", "/nursery/orders", true, 15, 30},
	{kindUploads, "uploads", "PUT", "/imagery/photographs", false, 40, 120},
	{kindStock, "lookups", "GET", "/nursery/stock", false, 30, 90},
	{kindMaps, "map-reloads", "GET", "/maps/maps/natal", false, 60, 900},
	{kindWeather, "background", "GET", "/maps/weather", false, 40, 300},
}

// loadMix returns the kinds in the form that the caller stand-in takes, weighted by rate, and their total rate.
func loadMix(rate func(kind) float64) ([]standin.Kind, float64) {
	var all []standin.Kind
	total := 0.0
	for _, k := range kinds {
		r := rate(k)
		total += r
		all = append(all, standin.Kind{Name: k.name, Method: k.method, Path: k.path, Weight: r,
			NonIdempotent: k.nonIdempotent, Timeout: time.Second})
	}
	return all, total
}
