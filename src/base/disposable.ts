/** A resource that its owner releases explicitly. Disposing of it more than once has no effect. */
export interface Disposable {
    dispose(): void;
}

/**
 * Creates a disposable that calls `release` on its first disposal only.
 *
 * @example
 * const disposable = createDisposable(() => socket.destroy());
 */
export function createDisposable(release: () => void): Disposable {
    let disposed = false;
    return {
        dispose() {
            if (!disposed) {
                disposed = true;
                release();
            }
        },
    };
}

/** A collection of disposables that are disposed together, in reverse order of registration. */
export interface DisposableStore extends Disposable {
    register<Item extends Disposable>(item: Item): Item;
}

/**
 * Creates an empty store. An item that is registered after the store was disposed is disposed immediately.
 *
 * @example
 * const store = createDisposableStore();
 * store.register(timer);
 * store.dispose();
 */
export function createDisposableStore(): DisposableStore {
    const items: Disposable[] = [];
    let disposed = false;
    return {
        register(item) {
            if (disposed) {
                item.dispose();
            }
            else {
                items.push(item);
            }
            return item;
        },
        dispose() {
            disposed = true;
            for (const item of items.splice(0).reverse()) {
                item.dispose();
            }
        },
    };
}
