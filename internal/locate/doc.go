// Package locate finds the engines that a call for an adapter should try. The
// owner of the adapter's first candidate engine is its home and decides from
// recent demand and load; other daemons query the home and cache its reply for
// a short time. All state here is soft: a wrong answer costs one extra hop.
//
// Lock order: Service.mu and Service.homeMu are never held together, nor
// during I/O.
package locate
