// Command loadtool is not built yet.
package main

func main() {}
