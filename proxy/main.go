// Command proxy is not built yet.
package main

func main() {}
