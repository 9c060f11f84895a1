/** The decision module: which edge server, at which rendition, whether to retry, and which requests to refuse. */
package dockshed.choice;
